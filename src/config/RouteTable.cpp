#include "config/RouteTable.h"

#include "config/Configuration.h"
#include "config/Route.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <optional>
#include <utility>

namespace coriandergate::config {

namespace {

    auto toLower(std::string_view text) -> std::string
    {
        std::string lower(text);
        std::transform(lower.begin(), lower.end(), lower.begin(),
            [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
        return lower;
    }

    // hostName() drops the port; an IPv6 address keeps its brackets.
    auto hostName(std::string_view host) -> std::string_view
    {
        const auto colon = host.rfind(':');
        const auto bracket = host.rfind(']');
        if (colon == std::string_view::npos || (bracket != std::string_view::npos && colon < bracket))
            return host;
        return host.substr(0, colon);
    }

    auto withoutTrailingSlash(std::string_view prefix) -> std::string_view
    {
        while (!prefix.empty() && prefix.back() == '/')
            prefix.remove_suffix(1);
        return prefix;
    }

    auto hexDigit(char digit) -> std::optional<int>
    {
        if (digit >= '0' && digit <= '9')
            return digit - '0';
        const auto lower = static_cast<char>(digit | 0x20);
        if (lower >= 'a' && lower <= 'f')
            return lower - 'a' + 10;
        return std::nullopt;
    }

    auto isUnreserved(char character) -> bool
    {
        return std::isalnum(static_cast<unsigned char>(character)) != 0
            || std::string_view("-._~").find(character) != std::string_view::npos;
    }

    auto decodeUnreserved(std::string_view path) -> std::string
    {
        std::string decoded;
        decoded.reserve(path.size());
        for (std::size_t i = 0; i < path.size(); ++i) {
            if (path[i] == '%' && i + 2 < path.size()) {
                const auto high = hexDigit(path[i + 1]);
                const auto low = hexDigit(path[i + 2]);
                const auto character = high && low ? static_cast<char>(*high * 16 + *low) : '\0';
                if (isUnreserved(character)) {
                    decoded.push_back(character);
                    i += 2;
                    continue;
                }
            }
            decoded.push_back(path[i]);
        }
        return decoded;
    }

    auto hasDotSegment(std::string_view path) -> bool
    {
        for (auto start = path.find("/."); start != std::string_view::npos; start = path.find("/.", start + 1)) {
            const auto segment = path.substr(start + 1, path.find('/', start + 1) - start - 1);
            if (segment == "." || segment == "..")
                return true;
        }
        return false;
    }

} // namespace

RouteTable::RouteTable(std::shared_ptr<const Configuration> configuration)
    : m_configuration(std::move(configuration))
{
    for (const auto& route : m_configuration->routes) {
        auto& routes = m_byHost[toLower(route.host)];
        const auto prefix = withoutTrailingSlash(route.pathPrefix);
        routes.byPrefix.emplace(prefix, &route);
        routes.longestPrefix = std::max(routes.longestPrefix, prefix.size());
    }
}

auto RouteTable::match(std::string_view host, std::string_view path) const -> const Route*
{
    path = path.substr(0, path.find('?'));
    std::string decoded;
    if (path.find('%') != std::string_view::npos) {
        decoded = decodeUnreserved(path);
        path = decoded;
    }
    if (path.empty() || path.front() != '/' || hasDotSegment(path))
        return nullptr;
    const std::array<std::string, 2> hosts { toLower(hostName(host)), std::string() };
    for (const auto& name : hosts) {
        const auto found = m_byHost.find(name);
        if (found == m_byHost.end())
            continue;
        if (const auto* route = found->second.match(path))
            return route;
    }
    return nullptr;
}

auto RouteTable::HostRoutes::match(std::string_view path) const -> const Route*
{
    // Longer candidates than the longest prefix can't match, which bounds the work for a hostile path.
    auto candidate = withoutTrailingSlash(path);
    if (candidate.size() > longestPrefix) {
        const auto border = path.rfind('/', longestPrefix);
        candidate = path.substr(0, border);
    }
    for (;;) {
        if (const auto found = byPrefix.find(candidate); found != byPrefix.end())
            return found->second;
        if (candidate.empty())
            return nullptr;
        candidate = candidate.substr(0, candidate.rfind('/'));
    }
}

} // namespace coriandergate::config
