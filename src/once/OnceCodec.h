// Encodes the messages about at-most-once requests between daemons as CBOR, by nlohmann::json.
//
//   auto body = encodePermitRequest(request);
//   Error reason;
//   if (const auto response = decodePermitResponse(received, reason)) ...
//
// Points in time are encoded as ages in milliseconds, rounded down, so that what arrives looks younger than it is and
// is kept longer. A decode function returns nothing, with the reason, for malformed input. All functions are safe from
// any thread.
#pragma once

#include "base/Error.h"
#include "once/AttemptRecord.h"
#include "once/PermitRequest.h"
#include "once/PermitResponse.h"
#include "once/RebuildReport.h"

#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace coriandergate::once {

// OutcomeRequest asks `owner` for the outcome of an attempt. Another incarnation of the daemon doesn't know it.
struct OutcomeRequest {
    DaemonIdentity owner;
    AttemptId attempt;
};

// ReportRequest asks a daemon for its RebuildReport of a seat, on behalf of the seat's holder in `epoch`.
struct ReportRequest {
    unsigned seat = 0;
    std::uint64_t epoch = 0;
};

[[nodiscard]] auto encodePermitRequest(const PermitRequest& request) -> std::string;
[[nodiscard]] auto decodePermitRequest(std::string_view bytes, Error& reason) -> std::optional<PermitRequest>;

[[nodiscard]] auto encodePermitResponse(const PermitResponse& response) -> std::string;
[[nodiscard]] auto decodePermitResponse(std::string_view bytes, Error& reason) -> std::optional<PermitResponse>;

[[nodiscard]] auto encodeRecord(const AttemptRecord& record, MonotonicTime now) -> std::string;
[[nodiscard]] auto decodeRecord(std::string_view bytes, MonotonicTime now, Error& reason)
    -> std::optional<AttemptRecord>;

[[nodiscard]] auto encodeOutcome(const AttemptOutcome& outcome) -> std::string;
[[nodiscard]] auto decodeOutcome(std::string_view bytes, Error& reason) -> std::optional<AttemptOutcome>;

[[nodiscard]] auto encodeOutcomeRequest(const OutcomeRequest& request) -> std::string;
[[nodiscard]] auto decodeOutcomeRequest(std::string_view bytes, Error& reason) -> std::optional<OutcomeRequest>;

[[nodiscard]] auto encodeReportRequest(const ReportRequest& request) -> std::string;
[[nodiscard]] auto decodeReportRequest(std::string_view bytes, Error& reason) -> std::optional<ReportRequest>;

[[nodiscard]] auto encodeReport(const RebuildReport& report, MonotonicTime now) -> std::string;
[[nodiscard]] auto decodeReport(std::string_view bytes, MonotonicTime now, Error& reason)
    -> std::optional<RebuildReport>;

// AttemptLabel identifies an attempt and its request. The entry daemon sends it to the owner along with the request, as
// text: five hexadecimal numbers separated by dots.
struct AttemptLabel {
    IdempotencyKey key;
    AttemptId attempt;
    std::uint64_t fingerprint = 0;
};
[[nodiscard]] auto encodeLabel(const AttemptLabel& label) -> std::string;
[[nodiscard]] auto decodeLabel(std::string_view text, Error& reason) -> std::optional<AttemptLabel>;

} // namespace coriandergate::once
