#include "config/internal/FieldReader.h"

#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace coriandergate::config::internal {

namespace {

    template <typename Number> auto parseNumber(std::string_view text) -> std::optional<Number>
    {
        Number number {};
        const auto* end = text.data() + text.size();
        const auto [rest, failure] = std::from_chars(text.data(), end, number);
        if (failure != std::errc() || rest != end)
            return std::nullopt;
        return number;
    }

    auto parseDuration(std::string_view text) -> std::optional<std::chrono::milliseconds>
    {
        const auto digits = text.find_first_not_of("0123456789");
        if (digits == std::string_view::npos)
            return std::nullopt;
        const auto count = parseNumber<std::uint32_t>(text.substr(0, digits));
        const auto unit = text.substr(digits);
        if (!count)
            return std::nullopt;
        if (unit == "ms")
            return std::chrono::milliseconds(*count);
        if (unit == "s")
            return std::chrono::seconds(*count);
        if (unit == "m")
            return std::chrono::minutes(*count);
        return std::nullopt;
    }

    auto printNumber(double number) -> std::string { return nlohmann::json(number).dump(); }

} // namespace

FieldReader::FieldReader(const YamlNode& entry, std::string path, std::vector<DeclarationFault>& faults)
    : m_entry(entry)
    , m_path(std::move(path))
    , m_faults(faults)
{
    if (entry.kind != YamlNode::Kind::Mapping) {
        m_faults.push_back({ entry.line, entry.column, m_path, "the entry is not a mapping", "fields with values" });
        return;
    }
    for (std::size_t i = 0; i + 1 < entry.items.size(); i += 2) {
        const auto& key = entry.items[i];
        if (!m_fields.emplace(key.scalar, &entry.items[i + 1]).second)
            fault(key, key.scalar, "the field stands twice", "once");
    }
}

auto FieldReader::require(std::string_view name) -> void
{
    if (m_entry.kind == YamlNode::Kind::Mapping && node(name) == nullptr)
        fault(m_entry, name, "the field is missing", "");
}

auto FieldReader::text(std::string_view name, std::string& value, const TextRule& rule, std::string_view allowed)
    -> void
{
    const auto* field = scalar(name);
    if (field == nullptr)
        return;
    if (!rule(field->scalar))
        return fault(*field, name, "'" + field->scalar + "' is not valid", allowed);
    value = field->scalar;
}

auto FieldReader::texts(
    std::string_view name, std::vector<std::string>& values, const TextRule& rule, std::string_view allowed) -> void
{
    const auto* field = node(name);
    if (field == nullptr)
        return;
    if (field->kind != YamlNode::Kind::Sequence)
        return fault(*field, name, "the field is not a list", allowed);
    for (const auto& item : field->items) {
        if (item.kind != YamlNode::Kind::Scalar || !rule(item.scalar))
            fault(item, name, "'" + item.scalar + "' is not valid", allowed);
        else
            values.push_back(item.scalar);
    }
}

auto FieldReader::number(std::string_view name, double& value, double least, double most) -> void
{
    const auto* field = scalar(name);
    if (field == nullptr)
        return;
    const auto parsed = parseNumber<double>(field->scalar);
    if (!parsed || !std::isfinite(*parsed) || *parsed < least || *parsed > most)
        return fault(*field, name, "'" + field->scalar + "' is out of range",
            "a number from " + printNumber(least) + " to " + printNumber(most));
    value = *parsed;
}

auto FieldReader::bytes(std::string_view name, std::size_t& value, std::size_t most) -> void
{
    const auto* field = scalar(name);
    if (field == nullptr)
        return;
    const auto parsed = parseNumber<std::size_t>(field->scalar);
    if (!parsed || *parsed > most)
        return fault(*field, name, "'" + field->scalar + "' is out of range",
            "a whole number of bytes from 0 to " + std::to_string(most));
    value = *parsed;
}

auto FieldReader::boolean(std::string_view name, bool& value) -> void
{
    const auto* field = scalar(name);
    if (field == nullptr)
        return;
    if (field->scalar != "true" && field->scalar != "false")
        return fault(*field, name, "'" + field->scalar + "' is not valid", "true or false");
    value = field->scalar == "true";
}

auto FieldReader::duration(std::string_view name, std::chrono::milliseconds& value, std::chrono::milliseconds least,
    std::chrono::milliseconds most) -> void
{
    const auto* field = scalar(name);
    if (field == nullptr)
        return;
    const auto parsed = parseDuration(field->scalar);
    if (!parsed || *parsed < least || *parsed > most)
        return fault(*field, name, "'" + field->scalar + "' is not a duration in range",
            "a whole number with the unit ms, s or m, from " + std::to_string(least.count()) + "ms to "
                + std::to_string(most.count()) + "ms");
    value = *parsed;
}

auto FieldReader::node(std::string_view name) -> const YamlNode*
{
    m_known.insert(name);
    const auto found = m_fields.find(name);
    return found == m_fields.end() ? nullptr : found->second;
}

auto FieldReader::scalar(std::string_view name) -> const YamlNode*
{
    const auto* field = node(name);
    if (field == nullptr || field->kind == YamlNode::Kind::Scalar)
        return field;
    fault(*field, name, "the field is not a single value", "");
    return nullptr;
}

auto FieldReader::fault(const YamlNode& place, std::string_view name, std::string problem, std::string_view allowed)
    -> void
{
    m_faults.push_back(
        { place.line, place.column, m_path + "." + std::string(name), std::move(problem), std::string(allowed) });
}

auto FieldReader::finish() -> void
{
    std::string known;
    for (const auto& name : m_known)
        known += (known.empty() ? "" : ", ") + std::string(name);
    for (std::size_t i = 0; i + 1 < m_entry.items.size() && m_entry.kind == YamlNode::Kind::Mapping; i += 2) {
        const auto& key = m_entry.items[i];
        if (!m_known.contains(key.scalar))
            fault(key, key.scalar, "unknown field", known);
    }
}

} // namespace coriandergate::config::internal
