// An IP address and a port, as settings, announcements and gossip write them: "10.0.0.7:7101" or "[fd00::7]:7101".
//
//   if (auto address = parseHostAddress("10.0.0.7:7101"))
//       connectTo(address->ip, address->port);
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace coriandergate::member {

// HostAddress is a value; `ip` is without brackets.
struct HostAddress {
    std::string ip;
    std::uint16_t port = 0;

    friend auto operator==(const HostAddress&, const HostAddress&) -> bool = default;
};

// parseHostAddress() reads an IP number and a port from 1 to 65535; nothing for host names and all else. Safe from any
// thread.
[[nodiscard]] auto parseHostAddress(std::string_view text) -> std::optional<HostAddress>;

} // namespace coriandergate::member
