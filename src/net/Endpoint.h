// Turns the addresses of settings ("10.1.0.11:8365") into endpoints of Boost.Asio.
//
//   Error reason;
//   if (const auto endpoint = net::parseEndpoint("10.1.0.11:8365", reason)) ...
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string>

namespace coriandergate {
struct Error;
}

namespace coriandergate::net {

// parseEndpoint() reads an IPv4 number and a port. Names are not looked up. Safe from any thread.
[[nodiscard]] auto parseEndpoint(const std::string& text, Error& reason)
    -> std::optional<boost::asio::ip::tcp::endpoint>;

} // namespace coriandergate::net
