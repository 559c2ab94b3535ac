// A target behind another daemon, as gossip disseminates it.
#pragma once

#include <cstdint>
#include <string>

namespace coriandergate::member {

// RemoteTarget describes one serving target. A daemon does not disseminate its draining targets.
struct RemoteTarget {
    std::string service;
    std::string address; // IP:port
    std::uint32_t slots = 1; // maximum concurrent requests

    friend auto operator==(const RemoteTarget&, const RemoteTarget&) -> bool = default;
};

} // namespace coriandergate::member
