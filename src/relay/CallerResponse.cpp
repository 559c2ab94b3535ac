#include "relay/CallerResponse.h"

#include "config/ClientAccount.h"
#include "log/Event.h"
#include "relay/EntryContext.h"
#include "relay/RequestAdmission.h"
#include "relay/TargetChoice.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

namespace coriandergate::relay {

using std::chrono::milliseconds;

namespace {

    const log::Event requestEnded { 1900, log::Severity::Info, "caller answered",
        "one event per request: its status, the reason, and the configuration and freshness that decided it" };

    auto secondsText(milliseconds time) -> std::string
    {
        std::array<char, 32> text {};
        std::snprintf(text.data(), text.size(), "%.2f", std::chrono::duration<double>(time).count());
        return text.data();
    }

    auto millisecondsText(const std::optional<milliseconds>& time) -> std::string
    {
        return time ? std::to_string(time->count()) : "";
    }

    auto logEnd(const EntryContext& context, const EndOfRequest& end, const std::string& status, SuspendAwareTime now)
        -> void
    {
        const auto& admitted = end.admitted;
        log::logEvent(requestEnded,
            { { "request", end.requestId }, { "status", status }, { "why", std::string(end.reason) },
                { "ms", std::to_string(end.latency.count()) }, { "route", admitted.route ? admitted.route->name : "" },
                { "service", end.service }, { "account", admitted.clientAccount ? admitted.clientAccount->name : "" },
                { "runs", std::to_string(end.attempts) }, { "rejections", std::to_string(end.rejections) },
                { "version",
                    admitted.snapshot ? std::to_string(admitted.snapshot->configuration().version) : std::string() },
                { "proof-age-ms", millisecondsText(context.configurationFreshness.age(now)) },
                { "hosts-age-ms", millisecondsText(context.hostListFreshness.age(now)) } });
    }

} // namespace

auto makeRefusal(const EntryContext& context, const RequestRefusal& refusal) -> http::Answer
{
    auto response = http::makeAnswer(refusal.status, "text/plain", std::string(refusal.reason));
    if (!refusal.retryAfter)
        return response;
    const auto& options = context.options;
    const auto wait = std::clamp(*refusal.retryAfter, options.minimumRetryAfter, options.maximumRetryAfter);
    response.headers.add(context.headers.retryAfter, secondsText(wait));
    return response;
}

auto recordEnd(EntryContext& context, const EndOfRequest& end, SuspendAwareTime now) -> void
{
    ++context.counters.endedByReason[std::to_string(end.status) + " " + std::string(end.reason)];
    if (end.reason == noHomeTargetReason)
        ++context.counters.refusedForHomes;
    if (end.reason == evacuatedReason)
        ++context.counters.refusedForEvacuations;
    if (end.reason == answeredReason)
        context.counters.recordLatency(end.latency);
    logEnd(context, end, std::to_string(end.status), now);
}

auto recordCallerLeft(EntryContext& context, const EndOfRequest& end, SuspendAwareTime now) -> void
{
    ++context.counters.endedByReason[std::string(end.reason)];
    logEnd(context, end, "none", now);
}

auto overloadRetryAfter(const EntryContext& context, milliseconds targetLatency, double meanUtilization, double spread)
    -> milliseconds
{
    constexpr double minimumUtilization = 0.3;
    constexpr double maximumUtilization = 2.0;
    const auto meanWaitMs = static_cast<double>(targetLatency.count())
        * std::clamp(meanUtilization, minimumUtilization, maximumUtilization) / 2;
    return std::clamp(milliseconds(std::llround(meanWaitMs * spread)), context.options.minimumRetryAfter,
        context.options.maximumRetryAfter);
}

} // namespace coriandergate::relay
