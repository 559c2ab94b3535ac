#include "relay/PeerMessages.h"

#include "base/Error.h"
#include "http/CborMessage.h"
#include "http/Status.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <utility>
#include <vector>

namespace coriandergate::relay {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

    constexpr const char* decodeStep = "decode peer message";

    // Messages are arrays rather than maps, so that they carry no field names. The enumerators are indices.
    enum ReserveField {
        ReserveRequestId,
        ReserveService,
        ReservePriority,
        ReserveIdempotent,
        ReserveTargetLatencyLeft,
        ReserveMaximumWait,
        ReservePastTargetLatency,
        ReserveAcceptsFailing,
        ReserveClientAccount, // this and the next are not sent by earlier releases
        ReserveAccountWeight
    };
    enum RunField {
        RunRequestId,
        RunMethod,
        RunTarget,
        RunHeaders,
        RunBody,
        RunCallerService,
        RunClientAccount,
        RunIdempotent,
        RunTimeLeft,
        RunTargetLatencyLeft,
        RunExpiresAt,
        RunConfigurationVersion // not sent by earlier releases
    };

    constexpr double percentPerUnit = 100;
    // Bounds of what a peer may send of an account.
    constexpr std::size_t maximumAccountNameBytes = 256;
    constexpr double minimumAccountWeight = 1e-3;
    constexpr double maximumAccountWeight = 1e6;

    constexpr std::array<std::pair<RunOutcome, std::string_view>, 5> outcomeNames { {
        { RunOutcome::Answered, "answered" },
        { RunOutcome::NotSent, "not-sent" },
        { RunOutcome::NotRun, "not-run" },
        { RunOutcome::MayHaveRun, "may-have-run" },
        { RunOutcome::ConnectionLost, "connection-lost" },
    } };

    template <typename Number> auto parseNumber(std::string_view text) -> std::optional<Number>
    {
        Number number = 0;
        const auto* end = text.data() + text.size();
        const auto parsed = std::from_chars(text.data(), end, number);
        return parsed.ec == std::errc {} && parsed.ptr == end ? std::optional(number) : std::nullopt;
    }

} // namespace

auto encodeReserveRequest(const ReserveRequest& message) -> std::string
{
    return http::makeCborRequest(reservePath,
        json::array({ message.requestId, message.service, message.priority, message.isIdempotent,
            message.targetLatencyLeft.count(), message.maximumWait.count(), message.isPastTargetLatency,
            message.acceptsFailingTarget, message.clientAccount, message.accountWeight }));
}

auto decodeReserveRequest(const std::string& body, Error& reason) -> std::optional<ReserveRequest>
{
    ReserveRequest message;
    const bool isDecoded = http::readCbor(body, decodeStep, reason, [&message](const json& value) {
        message.requestId = value.at(ReserveRequestId).get<std::string>();
        message.service = value.at(ReserveService).get<std::string>();
        message.priority = http::readInteger<int>(value.at(ReservePriority));
        message.isIdempotent = value.at(ReserveIdempotent).get<bool>();
        message.targetLatencyLeft = http::readTime(value.at(ReserveTargetLatencyLeft));
        message.maximumWait = http::readTime(value.at(ReserveMaximumWait));
        message.isPastTargetLatency = value.at(ReservePastTargetLatency).get<bool>();
        message.acceptsFailingTarget = value.at(ReserveAcceptsFailing).get<bool>();
        if (value.size() > ReserveAccountWeight) {
            message.clientAccount
                = value.at(ReserveClientAccount).get<std::string>().substr(0, maximumAccountNameBytes);
            const auto weight = value.at(ReserveAccountWeight).get<double>();
            message.accountWeight
                = std::isfinite(weight) ? std::clamp(weight, minimumAccountWeight, maximumAccountWeight) : 1;
        }
    });
    return isDecoded ? std::optional(std::move(message)) : std::nullopt;
}

auto encodeRunRequest(const RunRequest& message) -> std::string
{
    auto headers = json::array();
    for (const auto& header : message.request.headers) {
        headers.push_back(header.name);
        headers.push_back(header.value);
    }
    const json::binary_t body(std::vector<std::uint8_t>(message.request.body.begin(), message.request.body.end()));
    return http::makeCborRequest(runPath,
        json::array({ message.requestId, message.request.method, message.request.target, headers, body,
            message.callerService, message.clientAccount, message.isIdempotent, message.timeLeft.count(),
            message.targetLatencyLeft.count(), message.expiresAt ? json(message.expiresAt->count()) : json(),
            message.configurationVersion }));
}

auto decodeRunRequest(const std::string& body, Error& reason) -> std::optional<RunRequest>
{
    RunRequest message;
    const bool isDecoded = http::readCbor(body, decodeStep, reason, [&message](const json& value) {
        message.requestId = value.at(RunRequestId).get<std::string>();
        message.request.method = value.at(RunMethod).get<std::string>();
        message.request.target = value.at(RunTarget).get<std::string>();
        const auto& headers = value.at(RunHeaders);
        for (std::size_t i = 0; i + 1 < headers.size(); i += 2)
            message.request.headers.add(headers.at(i).get<std::string>(), headers.at(i + 1).get<std::string>());
        const auto& bytes = value.at(RunBody).get_binary();
        message.request.body.assign(bytes.begin(), bytes.end());
        message.callerService = value.at(RunCallerService).get<std::string>();
        message.clientAccount = value.at(RunClientAccount).get<std::string>();
        message.isIdempotent = value.at(RunIdempotent).get<bool>();
        message.timeLeft = http::readTime(value.at(RunTimeLeft));
        message.targetLatencyLeft = http::readTime(value.at(RunTargetLatencyLeft));
        if (!value.at(RunExpiresAt).is_null())
            message.expiresAt = http::readTime(value.at(RunExpiresAt));
        if (value.size() > RunConfigurationVersion)
            message.configurationVersion = http::readInteger<std::uint64_t>(value.at(RunConfigurationVersion));
    });
    return isDecoded ? std::optional(std::move(message)) : std::nullopt;
}

auto encodeRateLimitRequest(const RateLimitRequest& message) -> std::string
{
    return http::makeCborRequest(rateLimitPath, json::array({ message.clientAccount }));
}

auto decodeRateLimitRequest(const std::string& body, Error& reason) -> std::optional<RateLimitRequest>
{
    RateLimitRequest message;
    const bool isDecoded = http::readCbor(body, decodeStep, reason,
        [&message](const json& value) { message.clientAccount = value.at(0).get<std::string>(); });
    return isDecoded ? std::optional(std::move(message)) : std::nullopt;
}

auto encodeBorrowRequest(const BorrowRequest& message) -> std::string
{
    return http::makeCborRequest(borrowPath, json::array({ message.service, encodeCallsPerRequest(message.calls) }));
}

auto decodeBorrowRequest(const std::string& body, Error& reason) -> std::optional<BorrowRequest>
{
    BorrowRequest message;
    const bool isDecoded = http::readCbor(body, decodeStep, reason, [&message](const json& value) {
        message.service = value.at(0).get<std::string>();
        message.calls = decodeCallsPerRequest(value.at(1).get<std::string>());
    });
    return isDecoded ? std::optional(std::move(message)) : std::nullopt;
}

auto encodeCrashReport(const CrashReport& message) -> std::string
{
    return http::makeCborRequest(crashPath, json::array({ message.fingerprint, message.target, message.hasSucceeded }));
}

auto decodeCrashReport(const std::string& body, Error& reason) -> std::optional<CrashReport>
{
    CrashReport message;
    const bool isDecoded = http::readCbor(body, decodeStep, reason, [&message](const json& value) {
        message.fingerprint = http::readInteger<std::uint64_t>(value.at(0));
        message.target = value.at(1).get<std::string>();
        message.hasSucceeded = value.at(2).get<bool>();
    });
    return isDecoded ? std::optional(std::move(message)) : std::nullopt;
}

auto encodeRetryAfter(milliseconds retryAfter) -> std::string { return std::to_string(retryAfter.count()); }

auto decodeRetryAfter(std::string_view text) -> std::optional<milliseconds>
{
    const auto number = parseNumber<milliseconds::rep>(text);
    if (!number || *number < 0 || *number > http::maximumMessageTime.count())
        return std::nullopt;
    return milliseconds(*number);
}

auto encodeCrashes(std::size_t crashes) -> std::string { return std::to_string(crashes); }

auto decodeCrashes(std::string_view text) -> std::optional<std::size_t> { return parseNumber<std::size_t>(text); }

auto isTakenForNotRun(int status) -> bool
{
    return status == http::statusRequestTimeout || status == http::statusMisdirected
        || status == http::statusTooManyRequests || status == http::statusUnavailable;
}

auto outcomeName(RunOutcome outcome) -> std::string_view
{
    for (const auto& [value, name] : outcomeNames) {
        if (value == outcome)
            return name;
    }
    return "may-have-run";
}

auto parseOutcome(std::string_view name) -> std::optional<RunOutcome>
{
    for (const auto& [value, knownName] : outcomeNames) {
        if (knownName == name)
            return value;
    }
    return std::nullopt;
}

auto unreadRequestHeaders() -> http::HeaderList
{
    http::HeaderList headers;
    headers.add(outcomeHeader, outcomeName(RunOutcome::NotSent));
    return headers;
}

auto encodeLoadReport(const TargetLoadReport& report) -> std::string
{
    auto text = std::to_string(report.load.running) + "," + std::to_string(report.load.waiting) + ","
        + std::to_string(report.load.slots) + "," + std::to_string(std::lround(report.rejectionRate * percentPerUnit));
    if (report.nextProbeIn)
        text += "," + std::to_string(report.nextProbeIn->count());
    return text;
}

auto decodeLoadReport(std::string_view text) -> std::optional<TargetLoadReport>
{
    std::vector<std::uint64_t> numbers;
    const auto* cursor = text.data();
    const auto* end = text.data() + text.size();
    while (cursor < end) {
        std::uint64_t number = 0;
        const auto parsed = std::from_chars(cursor, end, number);
        if (parsed.ec != std::errc {} || (parsed.ptr != end && *parsed.ptr != ','))
            return std::nullopt;
        numbers.push_back(number);
        cursor = parsed.ptr == end ? end : parsed.ptr + 1;
    }
    if (numbers.size() < 3)
        return std::nullopt;
    TargetLoadReport report { .load = { numbers[0], numbers[1], numbers[2] } };
    if (numbers.size() > 3) {
        report.rejectionRate = static_cast<double>(numbers[3]) / percentPerUnit;
        if (report.rejectionRate > 1)
            return std::nullopt;
    }
    if (numbers.size() > 4) {
        if (std::cmp_greater(numbers[4], http::maximumMessageTime.count()))
            return std::nullopt;
        report.nextProbeIn = milliseconds(numbers[4]);
    }
    return report;
}

auto encodeArrivals(const dispatch::TargetArrivals& arrivals) -> std::string
{
    return std::to_string(arrivals.limit) + "," + std::to_string(arrivals.used);
}

auto decodeArrivals(std::string_view text) -> std::optional<dispatch::TargetArrivals>
{
    const auto comma = text.find(',');
    if (comma == std::string_view::npos)
        return std::nullopt;
    const auto limit = parseNumber<std::size_t>(text.substr(0, comma));
    const auto used = parseNumber<std::size_t>(text.substr(comma + 1));
    return limit && used ? std::optional(dispatch::TargetArrivals { *limit, *used }) : std::nullopt;
}

auto encodeCallsPerRequest(const dispatch::RetryBudget::CallsPerRequest& calls) -> std::string
{
    std::string text;
    for (const auto& [service, count] : calls) {
        std::array<char, 16> number {};
        std::snprintf(number.data(), number.size(), "%.2f", count);
        text += (text.empty() ? "" : ",") + service + "=" + number.data();
    }
    return text.empty() ? "none" : text;
}

auto decodeCallsPerRequest(std::string_view text) -> dispatch::RetryBudget::CallsPerRequest
{
    dispatch::RetryBudget::CallsPerRequest calls;
    while (!text.empty()) {
        const auto item = text.substr(0, text.find(','));
        const auto equals = item.rfind('=');
        double count = 0;
        const auto* end = item.data() + item.size();
        if (equals != std::string_view::npos && std::from_chars(item.data() + equals + 1, end, count).ec == std::errc {}
            && std::isfinite(count) && count >= 0)
            calls[std::string(item.substr(0, equals))] = count;
        text.remove_prefix(std::min(text.size(), item.size() + 1));
    }
    return calls;
}

} // namespace coriandergate::relay
