// Declares one setting: its name, its kind with the allowed range, its default and what it means.
//
// A plug-in declares its settings beside its own code, before main() runs:
//
//   const SettingRegistration queueSetting { { .name = "queue-limit", .kind = IntegerKind { 1, 100000 },
//       .defaultValue = "512", .help = "requests that may wait for one service" } };
//
// Each can be given as a flag (--queue-limit=512) or in the environment (CORIANDERGATE_QUEUE_LIMIT); the flag goes
// first.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace coriandergate::settings {

// TextKind takes any text; an empty one only if `mayBeEmpty`.
struct TextKind {
    bool mayBeEmpty = true;
};

// IntegerKind takes whole numbers from `minimum` to `maximum`.
struct IntegerKind {
    std::int64_t minimum = 0;
    std::int64_t maximum = 0;
};

// DurationKind takes whole milliseconds from `minimum` to `maximum`.
struct DurationKind {
    std::int64_t minimum = 0;
    std::int64_t maximum = 0;
};

// AddressKind takes an IP number and a port, "127.0.0.1:7100"; port 0 means any free one. Empty only if `mayBeEmpty`.
struct AddressKind {
    bool mayBeEmpty = false;
};

// AddressListKind takes addresses separated by commas, possibly none.
struct AddressListKind { };

using SettingKind = std::variant<TextKind, IntegerKind, DurationKind, AddressKind, AddressListKind>;

// SettingDefinition is a value.
struct SettingDefinition {
    std::string name;
    SettingKind kind;
    std::string defaultValue;
    std::string help;
};

// describeRange() is the allowed range of a kind for people: "a whole number from 1 to 64".
[[nodiscard]] auto describeRange(const SettingKind& kind) -> std::string;

// isAllowed() says whether `value` lies within the range of `kind`.
[[nodiscard]] auto isAllowed(const SettingKind& kind, const std::string& value) -> bool;

// SettingRegistration adds a definition to registeredSettings() before main() runs.
struct SettingRegistration {
    explicit SettingRegistration(SettingDefinition definition);
};

// registeredSettings() is every definition, sorted by name.
[[nodiscard]] auto registeredSettings() -> std::vector<SettingDefinition>;

} // namespace coriandergate::settings
