#include "once/OnceCodec.h"

#include <array>
#include <charconv>
#include <nlohmann/json.hpp>

namespace coriandergate::once {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

    // The kinds as they are sent: the indexes of the alternatives in AttemptOutcome.
    enum class OutcomeKind {
        Running,
        NotRun,
        Ran,
        Unknown,
    };

    auto encodeCbor(const json& document) -> std::string
    {
        std::string bytes;
        json::to_cbor(document, bytes);
        return bytes;
    }

    // Calls `read` with the decoded document. If that throws, for instance because a field is missing or has the wrong
    // type, the exception's text becomes the reason.
    template <typename Read>
    auto decodeCbor(std::string_view bytes, const char* operation, Error& reason, const Read& read)
        -> std::optional<decltype(read(json {}))>
    {
        try {
            return read(json::from_cbor(bytes.begin(), bytes.end()));
        } catch (const json::exception& exception) {
            reason = { operation, "", exception.what() };
            return std::nullopt;
        }
    }

    auto toJson(const DaemonIdentity& daemon) -> json { return { daemon.address, daemon.incarnation }; }
    auto toJson(const IdempotencyKey& key) -> json { return { key.high, key.low }; }
    auto toJson(const AttemptId& attempt) -> json { return { attempt.entryIncarnation, attempt.number }; }

    auto readDaemon(const json& document) -> DaemonIdentity
    {
        return { document.at(0).get<std::string>(), document.at(1).get<std::uint64_t>() };
    }

    auto readKey(const json& document) -> IdempotencyKey
    {
        return { document.at(0).get<std::uint64_t>(), document.at(1).get<std::uint64_t>() };
    }

    auto readAttempt(const json& document) -> AttemptId
    {
        return { document.at(0).get<std::uint64_t>(), document.at(1).get<std::uint64_t>() };
    }

    auto toJson(const AttemptOutcome& outcome) -> json
    {
        const auto* ran = std::get_if<Ran>(&outcome);
        if (!ran)
            return { outcome.index() };
        json document { outcome.index(), ran->status };
        if (ran->response) {
            document.push_back(ran->response->contentType);
            document.push_back(json::binary({ ran->response->body.begin(), ran->response->body.end() }));
        }
        return document;
    }

    auto readRan(const json& document) -> Ran
    {
        Ran ran { document.at(1).get<int>(), {} };
        if (document.size() > 2) {
            const auto& body = document.at(3).get_binary();
            ran.response = StoredResponse { document.at(2).get<std::string>(), { body.begin(), body.end() } };
        }
        return ran;
    }

    auto readOutcome(const json& document) -> AttemptOutcome
    {
        switch (static_cast<OutcomeKind>(document.at(0).get<unsigned>())) {
        case OutcomeKind::Running:
            return Running {};
        case OutcomeKind::NotRun:
            return NotRun {};
        case OutcomeKind::Ran:
            return readRan(document);
        case OutcomeKind::Unknown:
            break;
        }
        return Unknown {}; // also for an outcome that this version doesn't know: the request isn't run again
    }

    auto ageInMilliseconds(MonotonicTime time, MonotonicTime now) -> milliseconds::rep
    {
        return std::chrono::floor<milliseconds>(now - time).count();
    }

    auto timeFromAge(const json& document, MonotonicTime now) -> MonotonicTime
    {
        return now - milliseconds(document.get<milliseconds::rep>());
    }

    auto toJson(const AttemptRecord& record, MonotonicTime now) -> json
    {
        return { toJson(record.key), toJson(record.attempt), toJson(record.owner), record.fingerprint, record.epoch,
            toJson(record.outcome), ageInMilliseconds(record.openedAt, now) };
    }

    auto readRecord(const json& document, MonotonicTime now) -> AttemptRecord
    {
        return { readKey(document.at(0)), readAttempt(document.at(1)), readDaemon(document.at(2)),
            document.at(3).get<std::uint64_t>(), document.at(4).get<std::uint64_t>(), readOutcome(document.at(5)),
            timeFromAge(document.at(6), now) };
    }

    auto readPermitResponse(const json& document) -> PermitResponse
    {
        const auto kind = document.at("kind").get<std::string>();
        if (kind == "permit")
            return Permit { document.at("epoch").get<std::uint64_t>(),
                milliseconds(document.at("lifetime").get<milliseconds::rep>()) };
        if (kind == "in-progress")
            return InProgress { readAttempt(document.at("attempt")), readDaemon(document.at("owner")) };
        if (kind == "ran")
            return AlreadyRan { readRan(document.at("outcome")) };
        if (kind == "differs")
            return FingerprintMismatch {};
        if (kind == "refused")
            return PermitRefused { static_cast<PermitRefused::Reason>(document.at("reason").get<int>()),
                milliseconds(document.at("retryAfter").get<milliseconds::rep>()) };
        return OutcomeUnknown {}; // also for a kind that this version doesn't know: the request isn't run again
    }

    struct ResponseEncoder {
        auto operator()(const Permit& permit) const -> json
        {
            const auto lifetime = std::chrono::floor<milliseconds>(permit.lifetime).count();
            return { { "kind", "permit" }, { "epoch", permit.epoch }, { "lifetime", lifetime } };
        }
        auto operator()(const InProgress& inProgress) const -> json
        {
            return { { "kind", "in-progress" }, { "attempt", toJson(inProgress.attempt) },
                { "owner", toJson(inProgress.owner) } };
        }
        auto operator()(const AlreadyRan& ran) const -> json
        {
            return { { "kind", "ran" }, { "outcome", toJson(AttemptOutcome { ran.outcome }) } };
        }
        auto operator()(const FingerprintMismatch&) const -> json { return { { "kind", "differs" } }; }
        auto operator()(const OutcomeUnknown&) const -> json { return { { "kind", "unknown" } }; }
        auto operator()(const PermitRefused& refused) const -> json
        {
            const auto retryAfter = std::chrono::ceil<milliseconds>(refused.retryAfter).count();
            return { { "kind", "refused" }, { "reason", static_cast<int>(refused.reason) },
                { "retryAfter", retryAfter } };
        }
    };

} // namespace

auto encodePermitRequest(const PermitRequest& request) -> std::string
{
    return encodeCbor({ toJson(request.key), toJson(request.attempt), toJson(request.owner), request.fingerprint });
}

auto decodePermitRequest(std::string_view bytes, Error& reason) -> std::optional<PermitRequest>
{
    return decodeCbor(bytes, "decode permit request", reason, [](const json& document) -> PermitRequest {
        return { readKey(document.at(0)), readAttempt(document.at(1)), readDaemon(document.at(2)),
            document.at(3).get<std::uint64_t>() };
    });
}

auto encodePermitResponse(const PermitResponse& response) -> std::string
{
    return encodeCbor(std::visit(ResponseEncoder {}, response));
}

auto decodePermitResponse(std::string_view bytes, Error& reason) -> std::optional<PermitResponse>
{
    return decodeCbor(
        bytes, "decode permit response", reason, [](const json& document) { return readPermitResponse(document); });
}

auto encodeRecord(const AttemptRecord& record, MonotonicTime now) -> std::string
{
    return encodeCbor(toJson(record, now));
}

auto decodeRecord(std::string_view bytes, MonotonicTime now, Error& reason) -> std::optional<AttemptRecord>
{
    return decodeCbor(
        bytes, "decode attempt record", reason, [now](const json& document) { return readRecord(document, now); });
}

auto encodeOutcome(const AttemptOutcome& outcome) -> std::string { return encodeCbor(toJson(outcome)); }

auto decodeOutcome(std::string_view bytes, Error& reason) -> std::optional<AttemptOutcome>
{
    return decodeCbor(
        bytes, "decode attempt outcome", reason, [](const json& document) { return readOutcome(document); });
}

auto encodeOutcomeRequest(const OutcomeRequest& request) -> std::string
{
    return encodeCbor({ toJson(request.owner), toJson(request.attempt) });
}

auto decodeOutcomeRequest(std::string_view bytes, Error& reason) -> std::optional<OutcomeRequest>
{
    return decodeCbor(bytes, "decode outcome request", reason, [](const json& document) -> OutcomeRequest {
        return { readDaemon(document.at(0)), readAttempt(document.at(1)) };
    });
}

auto encodeReportRequest(const ReportRequest& request) -> std::string
{
    return encodeCbor({ request.seat, request.epoch });
}

auto decodeReportRequest(std::string_view bytes, Error& reason) -> std::optional<ReportRequest>
{
    return decodeCbor(bytes, "decode report request", reason, [](const json& document) -> ReportRequest {
        return { document.at(0).get<unsigned>(), document.at(1).get<std::uint64_t>() };
    });
}

auto encodeReport(const RebuildReport& report, MonotonicTime now) -> std::string
{
    json records = json::array();
    for (const auto& record : report.records)
        records.push_back(toJson(record, now));
    json lost = json::array();
    for (const auto& daemon : report.lost)
        lost.push_back({ toJson(daemon.identity), daemon.dataCentre, ageInMilliseconds(daemon.lostAt, now) });
    json takenOver = json::array();
    for (const auto& daemon : report.takenOverFrom)
        takenOver.push_back(toJson(daemon));
    return encodeCbor({ toJson(report.from), ageInMilliseconds(report.historyStart, now), records, lost, takenOver });
}

auto decodeReport(std::string_view bytes, MonotonicTime now, Error& reason) -> std::optional<RebuildReport>
{
    return decodeCbor(bytes, "decode rebuild report", reason, [now](const json& document) {
        RebuildReport report { readDaemon(document.at(0)), timeFromAge(document.at(1), now), {}, {}, {} };
        for (const auto& record : document.at(2))
            report.records.push_back(readRecord(record, now));
        for (const auto& lost : document.at(3))
            report.lost.push_back(
                { readDaemon(lost.at(0)), lost.at(1).get<std::string>(), timeFromAge(lost.at(2), now) });
        for (const auto& daemon : document.at(4))
            report.takenOverFrom.push_back(readDaemon(daemon));
        return report;
    });
}

auto encodeLabel(const AttemptLabel& label) -> std::string
{
    std::string text;
    for (const auto number :
        { label.key.high, label.key.low, label.attempt.entryIncarnation, label.attempt.number, label.fingerprint }) {
        constexpr int hexadecimalBase = 16;
        std::array<char, 16> digits {}; // of a 64-bit number
        const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), number, hexadecimalBase).ptr;
        text += text.empty() ? "" : ".";
        text.append(digits.data(), end);
    }
    return text;
}

auto decodeLabel(std::string_view text, Error& reason) -> std::optional<AttemptLabel>
{
    constexpr int hexadecimalBase = 16;
    std::array<std::uint64_t, 5> numbers {};
    const auto* position = text.data();
    const auto* const end = text.data() + text.size();
    for (std::size_t index = 0; index < numbers.size(); ++index) {
        const auto isFirst = index == 0;
        if (!isFirst && (position == end || *position++ != '.'))
            break;
        const auto [rest, code] = std::from_chars(position, end, numbers[index], hexadecimalBase);
        if (code != std::errc {})
            break;
        position = rest;
        if (index + 1 == numbers.size() && position == end)
            return AttemptLabel { { numbers[0], numbers[1] }, { numbers[2], numbers[3] }, numbers[4] };
    }
    reason = { "decode attempt label", "", "expected five hexadecimal numbers separated by dots" };
    return std::nullopt;
}

} // namespace coriandergate::once
