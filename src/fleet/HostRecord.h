// The row that each daemon stores about its host, one row per host.
//
//   const auto text = encodeHostRecord(record);
//   Error reason;
//   if (const auto read = decodeHostRecord(key, text, reason)) ...
#pragma once

#include "base/Locality.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace coriandergate {
struct Error;
}

namespace coriandergate::fleet {

// Slots of one target, far above those of any; more is malformed input.
inline constexpr std::size_t maximumSlots = 65536;

// HostRecord is a value. It says how to reach a host; the daemon of that host decides which requests its target
// accepts. A restarted daemon writes the same record, so that a restart changes no row.
struct HostRecord {
    enum class State {
        NoTarget, // no target is known on the host; "empty" in the stored row
        Serving,
        Draining, // the target gets no new requests; "leaving" in the stored row
        // The daemon stopped, or was unreachable, after its target began to drain. The host takes no part in the fleet;
        // the row only lets a restarted daemon know that the target drains. It is removed after a while.
        Departed,
    };

    std::string peerAddress; // where other daemons reach the daemon of this host
    Locality locality;
    std::string service;
    std::string targetId;
    std::uint64_t targetStartedAt = 0; // milliseconds since 1970, as sent by the target; identifies the incarnation
    std::size_t slots = 1;
    State state = State::NoTarget;
    std::chrono::milliseconds joinedAt { 0 }; // when the host first wrote its row, by the store's clock
    std::chrono::milliseconds departedAt { 0 }; // set for Departed only, by the store's clock

    friend auto operator==(const HostRecord&, const HostRecord&) -> bool = default;
};

// hostRowKey() returns the key of a host's row. The keys of a region are adjacent; within it their order mixes the data
// centres. Thread-safe.
[[nodiscard]] auto hostRowKey(std::string_view region, std::string_view hostAddress) -> std::string;

// HostRowRange is the range of keys of one region's rows.
struct HostRowRange {
    std::string firstKey;
    std::string endKey; // not included
};

// hostRowRange() returns the range of `region`. Thread-safe.
[[nodiscard]] auto hostRowRange(std::string_view region) -> HostRowRange;

// makeDeparted() returns the record of a draining host as one that departed at `time`, on the store's clock.
[[nodiscard]] auto makeDeparted(HostRecord record, std::chrono::milliseconds time) -> HostRecord;

// encodeHostRecord() returns the record as CBOR: every daemon reads the rows of all hosts when it starts, so they are
// short. Thread-safe.
[[nodiscard]] auto encodeHostRecord(const HostRecord& record) -> std::string;

// decodeHostRecord() parses the output of encodeHostRecord(), also that of version 0.1.0. It returns nothing, with a
// reason that names the row, if the bytes are malformed, nested too deeply, or have a number or an address out of
// range. Thread-safe.
[[nodiscard]] auto decodeHostRecord(std::string_view key, std::string_view bytes, Error& reason)
    -> std::optional<HostRecord>;

} // namespace coriandergate::fleet
