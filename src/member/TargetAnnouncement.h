// What a target announces about itself to the daemon on its host.
//
//   const TargetAnnouncement announcement { "ledger", "10.0.0.7:9001", 6 };
#pragma once

#include <cstdint>
#include <string>

namespace coriandergate::member {

// TargetAnnouncement describes one target. `incarnation` distinguishes successive runs of a target at the same address;
// a target that does not generate one sends 0.
struct TargetAnnouncement {
    std::string service;
    std::string address; // IP:port
    std::uint32_t slots = 1; // maximum concurrent requests
    std::uint64_t incarnation = 0;

    friend auto operator==(const TargetAnnouncement&, const TargetAnnouncement&) -> bool = default;
};

} // namespace coriandergate::member
