// A target behind another daemon, as gossip carries it.
#pragma once

#include <cstdint>
#include <string>

namespace coriandergate::member {

// RemoteTarget is a value. Draining targets are not carried: a daemon takes them out of what it tells others.
struct RemoteTarget {
    std::string service;
    std::string address; // IP:port
    std::uint32_t slots = 1;

    friend auto operator==(const RemoteTarget&, const RemoteTarget&) -> bool = default;
};

} // namespace coriandergate::member
