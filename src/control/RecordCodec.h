// JSON forms of the control side's records, for rows, objects and the operators' API.
//
//   const auto text = encodeRecord(planRecord);
//   const auto copy = decodeRecord<PlanRecord>(text, reason);
#pragma once

#include "base/Clock.h"
#include "base/Error.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace coriandergate::config {

struct DeclarationFault;

// NOLINTBEGIN(readability-identifier-naming): nlohmann::json sets these names.
auto to_json(nlohmann::json& value, const DeclarationFault& fault) -> void;
auto from_json(const nlohmann::json& value, DeclarationFault& fault) -> void;
// NOLINTEND(readability-identifier-naming)

} // namespace coriandergate::config

namespace coriandergate::control {

struct AuditRecord;
struct EntryChange;
struct Plan;
struct PlanRecord;
struct PlanWarning;

// NOLINTBEGIN(readability-identifier-naming): nlohmann::json sets these names.
auto to_json(nlohmann::json& value, const AuditRecord& record) -> void;
auto from_json(const nlohmann::json& value, AuditRecord& record) -> void;
auto to_json(nlohmann::json& value, const EntryChange& change) -> void;
auto from_json(const nlohmann::json& value, EntryChange& change) -> void;
auto to_json(nlohmann::json& value, const PlanWarning& warning) -> void;
auto from_json(const nlohmann::json& value, PlanWarning& warning) -> void;
auto to_json(nlohmann::json& value, const Plan& plan) -> void;
auto from_json(const nlohmann::json& value, Plan& plan) -> void;
auto to_json(nlohmann::json& value, const PlanRecord& record) -> void;
auto from_json(const nlohmann::json& value, PlanRecord& record) -> void;
// NOLINTEND(readability-identifier-naming)

// printWallTime() is `at` in UTC, as 2031-10-24T06:03:00.125Z. Safe from any thread.
[[nodiscard]] auto printWallTime(WallTime at) -> std::string;

// parseWallTime() reads what printWallTime() wrote; the epoch for any other text. Safe from any thread.
[[nodiscard]] auto parseWallTime(const std::string& text) -> WallTime;

// encodeRecord() is the JSON text of any of the types above. Safe from any thread.
template <typename Record> [[nodiscard]] auto encodeRecord(const Record& record) -> std::string
{
    return nlohmann::json(record).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

// decodeRecord() reads what encodeRecord() wrote. Safe from any thread.
template <typename Record>
[[nodiscard]] auto decodeRecord(std::string_view text, Error& reason) -> std::optional<Record>
{
    try {
        return nlohmann::json::parse(text).get<Record>();
    } catch (const nlohmann::json::exception& exception) {
        reason = { "decode record", {}, exception.what() };
        return std::nullopt;
    }
}

} // namespace coriandergate::control
