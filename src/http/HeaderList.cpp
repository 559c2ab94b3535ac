#include "http/HeaderList.h"

#include <algorithm>
#include <array>

namespace coriandergate::http {

namespace {

    auto toLower(char c) -> char { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

    auto trimmed(std::string_view text) -> std::string_view
    {
        const auto first = text.find_first_not_of(" \t");
        if (first == std::string_view::npos)
            return {};
        const auto last = text.find_last_not_of(" \t");
        return text.substr(first, last - first + 1);
    }

    constexpr std::array<std::string_view, 9> hopByHopNames { "Connection", "Keep-Alive", "Proxy-Authenticate",
        "Proxy-Authorization", "Proxy-Connection", "TE", "Trailer", "Transfer-Encoding", "Upgrade" };

} // namespace

auto isSameName(std::string_view left, std::string_view right) -> bool
{
    return std::equal(
        left.begin(), left.end(), right.begin(), right.end(), [](char a, char b) { return toLower(a) == toLower(b); });
}

auto HeaderList::add(std::string_view name, std::string_view value) -> void
{
    Header header { std::string(name), std::string(value) };
    std::replace_if(
        header.value.begin(), header.value.end(), [](char c) { return c == '\r' || c == '\n' || c == '\0'; }, ' ');
    m_headers.push_back(std::move(header));
}

auto HeaderList::replace(std::string_view name, std::string_view value) -> void
{
    removeAll(name);
    add(name, value);
}

auto HeaderList::removeAll(std::string_view name) -> std::size_t
{
    return std::erase_if(m_headers, [name](const Header& header) { return isSameName(header.name, name); });
}

auto HeaderList::find(std::string_view name) const -> std::optional<std::string_view>
{
    for (const auto& header : m_headers) {
        if (isSameName(header.name, name))
            return header.value;
    }
    return std::nullopt;
}

auto HeaderList::count(std::string_view name) const -> std::size_t
{
    return static_cast<std::size_t>(std::count_if(
        m_headers.begin(), m_headers.end(), [name](const Header& header) { return isSameName(header.name, name); }));
}

auto removeHopByHop(HeaderList& headers) -> void
{
    std::vector<std::string> named;
    for (const auto& header : headers) {
        if (!isSameName(header.name, "Connection"))
            continue;
        std::string_view rest = header.value;
        while (!rest.empty()) {
            const auto comma = rest.find(',');
            const auto token = trimmed(rest.substr(0, comma));
            if (!token.empty())
                named.emplace_back(token);
            rest = comma == std::string_view::npos ? std::string_view {} : rest.substr(comma + 1);
        }
    }
    for (const auto& name : named) {
        // A caller must not be able to have these removed on the way to the target.
        if (!isSameName(name, "Host") && !isSameName(name, "Content-Length") && !isSameName(name, "Content-Type"))
            headers.removeAll(name);
    }
    for (const auto name : hopByHopNames)
        headers.removeAll(name);
}

} // namespace coriandergate::http
