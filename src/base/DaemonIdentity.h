// Names one run of one daemon.
//
// The address is the daemon's peer address from its settings. The incarnation is drawn anew at every start and never
// repeats, so that a restarted daemon is not taken for the one before it: what the former held is not the latter's.
//
//   const DaemonIdentity self { "10.0.0.7:7101", 8123345123 };
#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace coriandergate {

// DaemonIdentity is a value; two are equal only for the same run of the same daemon.
struct DaemonIdentity {
    std::string address;
    std::uint64_t incarnation = 0;

    // clang-tidy takes the zero of a rewritten comparison for a null pointer. NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const DaemonIdentity&, const DaemonIdentity&) -> std::strong_ordering = default;
};

} // namespace coriandergate
