// Where the control side keeps what in the platform's stores.
//
// Rows: the head, one row a plan, one row an accepted version (audit trail), and small deltas.
// Objects: snapshots and the full text of plans. Both are named by version and digest or by a random id and never
// change.
//
//   table.read(layout::headKey, ...);
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace coriandergate::config {
struct ConfigurationHead;
}

namespace coriandergate::control::layout {

constexpr std::string_view headKey = "configuration/head";
constexpr std::string_view auditPrefix = "configuration/audit/";
constexpr std::size_t mostDeltaRowBytes = 64 * 1024; // larger deltas are not kept; daemons then fetch the snapshot

// planKey() is the row, and the object, of a plan. Safe from any thread.
[[nodiscard]] auto planKey(std::string_view planId) -> std::string;

// auditKey() is the row of the change to `version`; keys sort by version. Safe from any thread.
[[nodiscard]] auto auditKey(std::uint64_t version) -> std::string;

// refusalKey() is the row of an attempt on `version` that was refused. Safe from any thread.
[[nodiscard]] auto refusalKey(std::uint64_t version, std::string_view planId) -> std::string;

// deltaKey() is the row of the delta that leads to `head`. Safe from any thread.
[[nodiscard]] auto deltaKey(const config::ConfigurationHead& head) -> std::string;

// snapshotName() is the object of a snapshot. Safe from any thread.
[[nodiscard]] auto snapshotName(const config::ConfigurationHead& head) -> std::string;

} // namespace coriandergate::control::layout
