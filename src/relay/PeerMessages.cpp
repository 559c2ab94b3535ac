#include "relay/PeerMessages.h"

#include "base/Error.h"
#include "http/CborMessage.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <vector>

namespace coriandergate::relay {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

    constexpr const char* decodeStep = "decode hop message";

    // Messages are arrays, so that names don't travel with each.
    enum ReserveField {
        ReserveId,
        ReserveService,
        ReservePriority,
        ReserveRepeatable,
        ReserveLatency,
        ReservePatience,
        ReserveLate,
        ReserveFailing
    };
    enum RunField {
        RunId,
        RunMethod,
        RunTarget,
        RunHeaders,
        RunBody,
        RunCaller,
        RunAccount,
        RunRepeatable,
        RunLeft,
        RunLatency,
        RunExpires
    };

    constexpr double percent = 100;

    constexpr std::array<std::pair<RunOutcome, std::string_view>, 4> outcomeNames { {
        { RunOutcome::Answered, "answered" },
        { RunOutcome::NotSent, "not-sent" },
        { RunOutcome::NotRun, "not-run" },
        { RunOutcome::MayHaveRun, "may-have-run" },
    } };

} // namespace

auto encodeReserveRequest(const ReserveRequest& ask) -> std::string
{
    return http::makeCborRequest(reservePath,
        json::array({ ask.requestId, ask.service, ask.priority, ask.isRepeatable, ask.targetLatencyLeft.count(),
            ask.patience.count(), ask.isServedLate, ask.takesFailing }));
}

auto decodeReserveRequest(const std::string& body, Error& reason) -> std::optional<ReserveRequest>
{
    ReserveRequest ask;
    const bool isRead = http::readCbor(body, decodeStep, reason, [&ask](const json& value) {
        ask.requestId = value.at(ReserveId).get<std::string>();
        ask.service = value.at(ReserveService).get<std::string>();
        ask.priority = value.at(ReservePriority).get<int>();
        ask.isRepeatable = value.at(ReserveRepeatable).get<bool>();
        ask.targetLatencyLeft = milliseconds(value.at(ReserveLatency).get<milliseconds::rep>());
        ask.patience = milliseconds(value.at(ReservePatience).get<milliseconds::rep>());
        ask.isServedLate = value.at(ReserveLate).get<bool>();
        ask.takesFailing = value.at(ReserveFailing).get<bool>();
    });
    return isRead ? std::optional(std::move(ask)) : std::nullopt;
}

auto encodeRunRequest(const RunRequest& ask) -> std::string
{
    auto headers = json::array();
    for (const auto& header : ask.request.headers) {
        headers.push_back(header.name);
        headers.push_back(header.value);
    }
    const json::binary_t body(std::vector<std::uint8_t>(ask.request.body.begin(), ask.request.body.end()));
    return http::makeCborRequest(runPath,
        json::array({ ask.requestId, ask.request.method, ask.request.target, headers, body, ask.callerService,
            ask.clientAccount, ask.isRepeatable, ask.timeLeft.count(), ask.targetLatencyLeft.count(),
            ask.expiresAt ? json(ask.expiresAt->count()) : json() }));
}

auto decodeRunRequest(const std::string& body, Error& reason) -> std::optional<RunRequest>
{
    RunRequest ask;
    const bool isRead = http::readCbor(body, decodeStep, reason, [&ask](const json& value) {
        ask.requestId = value.at(RunId).get<std::string>();
        ask.request.method = value.at(RunMethod).get<std::string>();
        ask.request.target = value.at(RunTarget).get<std::string>();
        const auto& headers = value.at(RunHeaders);
        for (std::size_t i = 0; i + 1 < headers.size(); i += 2)
            ask.request.headers.add(headers.at(i).get<std::string>(), headers.at(i + 1).get<std::string>());
        const auto& bytes = value.at(RunBody).get_binary();
        ask.request.body.assign(bytes.begin(), bytes.end());
        ask.callerService = value.at(RunCaller).get<std::string>();
        ask.clientAccount = value.at(RunAccount).get<std::string>();
        ask.isRepeatable = value.at(RunRepeatable).get<bool>();
        ask.timeLeft = milliseconds(value.at(RunLeft).get<milliseconds::rep>());
        ask.targetLatencyLeft = milliseconds(value.at(RunLatency).get<milliseconds::rep>());
        if (!value.at(RunExpires).is_null())
            ask.expiresAt = milliseconds(value.at(RunExpires).get<milliseconds::rep>());
    });
    return isRead ? std::optional(std::move(ask)) : std::nullopt;
}

auto encodeRateLimitRequest(const RateLimitRequest& ask) -> std::string
{
    return http::makeCborRequest(rateLimitPath, json::array({ ask.clientAccount }));
}

auto decodeRateLimitRequest(const std::string& body, Error& reason) -> std::optional<RateLimitRequest>
{
    RateLimitRequest ask;
    const bool isRead = http::readCbor(
        body, decodeStep, reason, [&ask](const json& value) { ask.clientAccount = value.at(0).get<std::string>(); });
    return isRead ? std::optional(std::move(ask)) : std::nullopt;
}

auto encodeBorrowRequest(const BorrowRequest& ask) -> std::string
{
    return http::makeCborRequest(borrowPath, json::array({ ask.service, encodeCallsPerRun(ask.calls) }));
}

auto decodeBorrowRequest(const std::string& body, Error& reason) -> std::optional<BorrowRequest>
{
    BorrowRequest ask;
    const bool isRead = http::readCbor(body, decodeStep, reason, [&ask](const json& value) {
        ask.service = value.at(0).get<std::string>();
        ask.calls = decodeCallsPerRun(value.at(1).get<std::string>());
    });
    return isRead ? std::optional(std::move(ask)) : std::nullopt;
}

auto encodeRetryDelay(milliseconds turnIn) -> std::string { return std::to_string(turnIn.count()); }

auto decodeRetryDelay(std::string_view text) -> std::optional<milliseconds>
{
    milliseconds::rep number = 0;
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    return parsed.ec == std::errc {} && parsed.ptr == end ? std::optional(milliseconds(number)) : std::nullopt;
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
    for (const auto& [value, known] : outcomeNames) {
        if (known == name)
            return value;
    }
    return std::nullopt;
}

auto encodeLoadReport(const TargetLoadReport& news) -> std::string
{
    auto text = std::to_string(news.load.running) + "," + std::to_string(news.load.waiting) + ","
        + std::to_string(news.load.slots) + "," + std::to_string(std::lround(news.rejectionRate * percent));
    if (news.nextTrialIn)
        text += "," + std::to_string(news.nextTrialIn->count());
    return text;
}

auto decodeLoadReport(std::string_view text) -> std::optional<TargetLoadReport>
{
    std::vector<std::uint64_t> numbers;
    const auto* at = text.data();
    const auto* end = text.data() + text.size();
    while (at < end) {
        std::uint64_t number = 0;
        const auto parsed = std::from_chars(at, end, number);
        if (parsed.ec != std::errc {} || (parsed.ptr != end && *parsed.ptr != ','))
            return std::nullopt;
        numbers.push_back(number);
        at = parsed.ptr == end ? end : parsed.ptr + 1;
    }
    if (numbers.size() < 3)
        return std::nullopt;
    TargetLoadReport news { { numbers[0], numbers[1], numbers[2] }, 0, std::nullopt };
    if (numbers.size() > 3)
        news.rejectionRate = static_cast<double>(numbers[3]) / percent;
    if (numbers.size() > 4)
        news.nextTrialIn = milliseconds(numbers[4]);
    return news;
}

auto encodeCallsPerRun(const dispatch::AttemptBudget::CallsPerRun& calls) -> std::string
{
    std::string text;
    for (const auto& [service, count] : calls) {
        std::array<char, 16> number {};
        std::snprintf(number.data(), number.size(), "%.2f", count);
        text += (text.empty() ? "" : ",") + service + "=" + number.data();
    }
    return text;
}

auto decodeCallsPerRun(std::string_view text) -> dispatch::AttemptBudget::CallsPerRun
{
    dispatch::AttemptBudget::CallsPerRun calls;
    while (!text.empty()) {
        const auto part = text.substr(0, text.find(','));
        const auto equals = part.rfind('=');
        double count = 0;
        const auto* end = part.data() + part.size();
        if (equals != std::string_view::npos
            && std::from_chars(part.data() + equals + 1, end, count).ec == std::errc {})
            calls[std::string(part.substr(0, equals))] = count;
        text.remove_prefix(std::min(text.size(), part.size() + 1));
    }
    return calls;
}

} // namespace coriandergate::relay
