#include "member/HostAddress.h"

#include <QHostAddress>
#include <QString>

#include <charconv>

namespace coriandergate::member {

namespace {

    auto parsePort(std::string_view text) -> std::optional<std::uint16_t>
    {
        std::uint16_t port = 0;
        const auto* const end = text.data() + text.size();
        const auto result = std::from_chars(text.data(), end, port);
        if (result.ec != std::errc() || result.ptr != end || port == 0)
            return std::nullopt;
        return port;
    }

}

auto parseHostAddress(std::string_view text) -> std::optional<HostAddress>
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    const auto port = parsePort(text.substr(colon + 1));
    auto ip = text.substr(0, colon);
    const auto isBracketed = ip.size() > 2 && ip.front() == '[' && ip.back() == ']';
    if (isBracketed)
        ip = ip.substr(1, ip.size() - 2);
    const QHostAddress parsed(QString::fromLatin1(ip.data(), static_cast<qsizetype>(ip.size())));
    const auto isIpv6 = parsed.protocol() == QAbstractSocket::IPv6Protocol;
    if (!port || parsed.isNull() || isIpv6 != isBracketed)
        return std::nullopt;
    return HostAddress { std::string(ip), *port };
}

} // namespace coriandergate::member
