// What each daemon tells the fleet about its host, one row a host.
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

// HostRecord is a value. It says where to ask; the daemon beside the target decides what it takes. A daemon that is
// started again writes the same record, so that a restart changes no row.
struct HostRecord {
    enum class State {
        Empty, // no target is known on the host
        Serving,
        Leaving, // the target gets no new work
    };

    std::string peerAddress; // where other daemons reach this host's daemon
    Locality locality;
    std::string service;
    std::string targetId;
    std::uint64_t targetStartedAt = 0; // milliseconds since 1970, as the target says; tells its incarnations apart
    std::size_t slots = 1;
    State state = State::Empty;
    std::chrono::milliseconds joinedAt { 0 }; // when the host told of itself first, on the store's clock

    friend auto operator==(const HostRecord&, const HostRecord&) -> bool = default;
};

// encodeHostRecord() is the record as JSON. Safe from any thread.
[[nodiscard]] auto encodeHostRecord(const HostRecord& record) -> std::string;

// decodeHostRecord() reads what encodeHostRecord() wrote; nothing, with a reason that names the row, when it can't.
[[nodiscard]] auto decodeHostRecord(std::string_view key, std::string_view text, Error& reason)
    -> std::optional<HostRecord>;

} // namespace coriandergate::fleet
