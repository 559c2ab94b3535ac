// Parses an IP address and port in the form used by settings, announcements and gossip: "10.0.0.7:7101" or
// "[fd00::7]:7101".
//
//   if (auto address = parseHostAddress("10.0.0.7:7101"))
//       connectTo(address->ip, address->port);
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace coriandergate::member {

// HostAddress is an IP address and a port; `ip` has no brackets, also for IPv6.
struct HostAddress {
    std::string ip;
    std::uint16_t port = 0;

    friend auto operator==(const HostAddress&, const HostAddress&) -> bool = default;
};

// parseHostAddress() parses an IP address and a port from 1 to 65535. It returns std::nullopt for anything else,
// including host names. Thread-safe.
[[nodiscard]] auto parseHostAddress(std::string_view text) -> std::optional<HostAddress>;

} // namespace coriandergate::member
