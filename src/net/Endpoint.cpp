#include "net/Endpoint.h"

#include "base/Error.h"

#include <charconv>
#include <cstdint>

namespace coriandergate::net {

auto parseEndpoint(const std::string& text, Error& reason) -> std::optional<boost::asio::ip::tcp::endpoint>
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        reason = { "parse address", text, "a port is missing" };
        return std::nullopt;
    }
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address_v4(text.substr(0, colon), error);
    std::uint16_t port = 0;
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    if (error || parsed.ec != std::errc {} || parsed.ptr != end) {
        reason = { "parse address", text, "an IPv4 number and a port are needed" };
        return std::nullopt;
    }
    return boost::asio::ip::tcp::endpoint(address, port);
}

} // namespace coriandergate::net
