// One line of a plan: an entry that is added, changed or removed.
#pragma once

#include <string>
#include <vector>

namespace coriandergate::control {

// EntryChange names an entry by its section and name. `fields` says what differs, as "field: before -> after".
struct EntryChange {
    std::string section; // "services", "clientAccounts" or "routes"
    std::string name;
    std::string change; // "added", "changed" or "removed"
    std::vector<std::string> fields;

    friend auto operator==(const EntryChange&, const EntryChange&) -> bool = default;
};

} // namespace coriandergate::control
