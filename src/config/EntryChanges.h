// The changes of one kind of entries between two configurations.
#pragma once

#include <string>
#include <vector>

namespace coriandergate::config {

// EntryChanges lists the entries that are new or differ, as they are afterwards, and the names of those that are gone;
// both sorted by name.
template <typename Entry> struct EntryChanges {
    std::vector<Entry> added;
    std::vector<Entry> changed;
    std::vector<std::string> removed;

    [[nodiscard]] auto empty() const -> bool { return added.empty() && changed.empty() && removed.empty(); }

    friend auto operator==(const EntryChanges&, const EntryChanges&) -> bool = default;
};

} // namespace coriandergate::config
