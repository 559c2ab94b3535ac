#include "relay/RequestAdmission.h"

#include "dispatch/RunningPriorities.h"
#include "http/Request.h"
#include "http/Status.h"
#include "relay/EntryContext.h"

#include <algorithm>
#include <charconv>

namespace coriandergate::relay {

using std::chrono::milliseconds;

namespace {

    // Subtracted from the caller's deadline, so that the response arrives before the caller gives up.
    constexpr milliseconds responseMargin { 30 };

    auto readDeadline(const EntryContext& context, const http::Request& request, const config::Route& route,
        MonotonicTime receivedAt) -> MonotonicTime
    {
        auto timeToDeadline = route.deadline;
        const auto header = request.headers.find(context.headers.deadline);
        milliseconds::rep deadlineMs = 0;
        if (header && std::from_chars(header->data(), header->data() + header->size(), deadlineMs).ec == std::errc {}
            && deadlineMs >= 0)
            timeToDeadline
                = std::min(timeToDeadline, std::max(milliseconds { 1 }, milliseconds(deadlineMs) - responseMargin));
        const auto deadline = receivedAt + timeToDeadline;
        return context.shutdownDeadline ? std::min<MonotonicTime>(deadline, *context.shutdownDeadline) : deadline;
    }

    auto authenticate(const EntryContext& context, const http::Request& request, SuspendAwareTime now,
        AdmittedRequest& admitted) -> std::optional<RequestRefusal>
    {
        const auto& snapshot = *admitted.snapshot;
        if (admitted.route->isOpen || !(context.options.requiresApiKeys || snapshot.requiresApiKeys()))
            return std::nullopt;
        if (!context.configurationFreshness.isFresh(now) || !context.hostListFreshness.isFresh(now)) {
            constexpr milliseconds retryAfter { 1000 };
            return RequestRefusal { http::statusUnavailable, "the configuration may be out of date", retryAfter };
        }
        admitted.key = request.headers.find(context.headers.apiKey).value_or("");
        if (admitted.key.empty())
            return RequestRefusal { http::statusUnauthorized, "no key", std::nullopt };
        admitted.clientAccount = snapshot.keys().accountForKey(admitted.key);
        if (!admitted.clientAccount)
            return RequestRefusal { http::statusUnauthorized, "unknown key", std::nullopt };
        admitted.priority = admitted.clientAccount->priority.value_or(admitted.priority);
        return std::nullopt;
    }

} // namespace

auto AdmittedRequest::retryClass(std::string_view service) const -> dispatch::RetryBudget::RetryClass
{
    using RetryClass = dispatch::RetryBudget::RetryClass;
    const bool isUrgent = isCallFromTarget() || route->priority <= snapshot->highestPriority(service);
    return isUrgent ? RetryClass::HighPriority : RetryClass::LowPriority;
}

auto AdmittedRequest::queuePriority(const EntryContext& context, const std::string& service) const -> int
{
    if (!isCallFromTarget())
        return priority;
    const auto running = context.runningPriorities && snapshot->hasLittleSlack(service)
        ? context.runningPriorities->highest()
        : std::nullopt;
    return running.value_or(std::min(priority, snapshot->highestPriority(service)));
}

auto AdmittedRequest::queueAccount(std::string_view service) const -> const config::ClientAccount*
{
    return clientAccount && snapshot->hasLittleSlack(service) ? clientAccount : nullptr;
}

auto AdmittedRequest::isKeyRevokedBy(const std::shared_ptr<const PolicySnapshot>& current) const -> bool
{
    return clientAccount && current != snapshot && !current->keys().accountForKey(key);
}

auto AdmittedRequest::homes(const std::shared_ptr<const PolicySnapshot>& current) const -> dispatch::HomeRegions
{
    const bool hasChanged = current && current != snapshot;
    const auto* currentRoute = hasChanged ? current->route(route->name) : route;
    const auto* currentAccount
        = hasChanged && clientAccount ? current->clientAccount(clientAccount->name) : clientAccount;
    dispatch::HomeRegions homes((currentRoute ? currentRoute : route)->homeRegions);
    if (!clientAccount)
        return homes;
    return homes.intersection(dispatch::HomeRegions((currentAccount ? currentAccount : clientAccount)->homeRegions));
}

auto removeUnforwardedHeaders(const HeaderNames& names, http::HeaderList& headers) -> void
{
    http::removeHopByHop(headers);
    headers.removeAll("Content-Length");
    headers.removeAll("Expect");
    for (const auto* name : { &names.apiKey, &names.clientAccount, &names.callerService, &names.expectedTarget })
        headers.removeAll(*name);
}

auto admitRequest(const EntryContext& context, const http::Request& request, MonotonicTime receivedAt,
    SuspendAwareTime now, AdmittedRequest& admitted) -> std::optional<RequestRefusal>
{
    admitted.snapshot = context.snapshot;
    if (context.callerPortClosesAt && receivedAt >= *context.callerPortClosesAt)
        return RequestRefusal { http::statusUnavailable, shutdownReason, context.options.minimumRetryAfter };
    if (!admitted.snapshot) {
        constexpr milliseconds retryAfter { 500 };
        return RequestRefusal { http::statusUnavailable, "no configuration yet", retryAfter };
    }
    if (request.headers.find(context.headers.requestId).value_or("").empty())
        return RequestRefusal { http::statusBadRequest, "the request has no id", std::nullopt };
    admitted.route = admitted.snapshot->match(request.headers.find("Host").value_or(""), request.target);
    if (!admitted.route)
        return RequestRefusal { http::statusNotFound, "no route", std::nullopt };
    admitted.priority = admitted.route->priority;
    admitted.deadline = readDeadline(context, request, *admitted.route, receivedAt);
    return authenticate(context, request, now, admitted);
}

} // namespace coriandergate::relay
