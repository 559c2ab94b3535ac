#include "settings/SettingDefinition.h"

#include <QHostAddress>
#include <QString>
#include <QStringList>
#include <algorithm>
#include <charconv>
#include <optional>

namespace coriandergate::settings {

namespace {

    auto registry() -> std::vector<SettingDefinition>&
    {
        static std::vector<SettingDefinition> s_definitions;
        return s_definitions;
    }

    auto parseInteger(const std::string& text) -> std::optional<std::int64_t>
    {
        std::int64_t value = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (error != std::errc() || end != text.data() + text.size())
            return std::nullopt;
        return value;
    }

    auto isWithin(const std::string& text, std::int64_t minimum, std::int64_t maximum) -> bool
    {
        const auto value = parseInteger(text);
        return value && *value >= minimum && *value <= maximum;
    }

    auto isAddress(const std::string& text) -> bool
    {
        constexpr std::int64_t maximumPort = 65535;
        const auto colon = text.rfind(':');
        if (colon == std::string::npos || !isWithin(text.substr(colon + 1), 0, maximumPort))
            return false;
        return !QHostAddress(QString::fromStdString(text.substr(0, colon))).isNull();
    }

    auto isAddressList(const std::string& text) -> bool
    {
        const auto parts = QString::fromStdString(text).split(',', Qt::SkipEmptyParts);
        return std::all_of(
            parts.begin(), parts.end(), [](const QString& part) { return isAddress(part.trimmed().toStdString()); });
    }

    struct RangeText {
        auto operator()(const TextKind& kind) const -> std::string
        {
            return kind.mayBeEmpty ? "any text" : "a text that isn't empty";
        }
        auto operator()(const IntegerKind& kind) const -> std::string
        {
            return "a whole number from " + std::to_string(kind.minimum) + " to " + std::to_string(kind.maximum);
        }
        auto operator()(const DurationKind& kind) const -> std::string
        {
            return "milliseconds from " + std::to_string(kind.minimum) + " to " + std::to_string(kind.maximum);
        }
        auto operator()(const AddressKind& kind) const -> std::string
        {
            return kind.mayBeEmpty ? "IP:port or empty" : "IP:port";
        }
        auto operator()(const AddressListKind&) const -> std::string { return "IP:port, separated by commas"; }
    };

    struct RangeCheck {
        const std::string& value;

        auto operator()(const TextKind& kind) const -> bool { return kind.mayBeEmpty || !value.empty(); }
        auto operator()(const IntegerKind& kind) const -> bool { return isWithin(value, kind.minimum, kind.maximum); }
        auto operator()(const DurationKind& kind) const -> bool { return isWithin(value, kind.minimum, kind.maximum); }
        auto operator()(const AddressKind& kind) const -> bool
        {
            return value.empty() ? kind.mayBeEmpty : isAddress(value);
        }
        auto operator()(const AddressListKind&) const -> bool { return isAddressList(value); }
    };

} // namespace

auto describeRange(const SettingKind& kind) -> std::string { return std::visit(RangeText {}, kind); }

auto isAllowed(const SettingKind& kind, const std::string& value) -> bool
{
    return std::visit(RangeCheck { value }, kind);
}

SettingRegistration::SettingRegistration(SettingDefinition definition) { registry().push_back(std::move(definition)); }

auto registeredSettings() -> std::vector<SettingDefinition>
{
    auto definitions = registry();
    std::sort(definitions.begin(), definitions.end(),
        [](const auto& left, const auto& right) { return left.name < right.name; });
    return definitions;
}

} // namespace coriandergate::settings
