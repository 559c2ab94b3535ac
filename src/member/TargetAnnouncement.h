// What a target says of itself to the daemon on its host.
//
//   const TargetAnnouncement announcement { "ledger", "10.0.0.7:9001", 6 };
#pragma once

#include <cstdint>
#include <string>

namespace coriandergate::member {

// TargetAnnouncement is a value. `incarnation` tells one run of a target from the next one at the same address; a
// target that doesn't draw one leaves it 0.
struct TargetAnnouncement {
    std::string service;
    std::string address; // IP:port
    std::uint32_t slots = 1; // requests it takes at once
    std::uint64_t incarnation = 0;

    friend auto operator==(const TargetAnnouncement&, const TargetAnnouncement&) -> bool = default;
};

} // namespace coriandergate::member
