#include "control/OperatorTable.h"

#include "config/KeyDigest.h"

#include <utility>

namespace coriandergate::control {

namespace {

    constexpr std::size_t digestLength = 64; // hexadecimal digits

} // namespace

OperatorTable::OperatorTable(std::vector<Entry> entries)
    : m_entries(std::move(entries))
{
}

auto OperatorTable::nameFor(std::string_view token) const -> std::string
{
    const auto digest = config::digestOfKey(token);
    std::string name;
    for (const auto& entry : m_entries) {
        if (config::areDigestsEqual(entry.tokenDigest, digest))
            name = entry.name;
    }
    return name;
}

auto parseOperators(std::string_view text, Error& reason) -> std::optional<OperatorTable>
{
    std::vector<OperatorTable::Entry> entries;
    while (!text.empty()) {
        const auto comma = text.find(',');
        const auto part = text.substr(0, comma);
        text = comma == std::string_view::npos ? std::string_view() : text.substr(comma + 1);
        const auto colon = part.find(':');
        const auto digest = colon == std::string_view::npos ? std::string_view() : part.substr(colon + 1);
        if (colon == 0 || digest.size() != digestLength
            || digest.find_first_not_of("0123456789abcdef") != std::string_view::npos) {
            reason = { "read operators", std::string(part.substr(0, colon)),
                "name:digest with 64 hexadecimal digits is needed" };
            return std::nullopt;
        }
        entries.push_back({ std::string(part.substr(0, colon)), std::string(digest) });
    }
    return OperatorTable(std::move(entries));
}

} // namespace coriandergate::control
