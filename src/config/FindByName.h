// Finds an entry of a configuration by its name.
//
//   const Route* route = findByName(configuration.routes, "quotas");
#pragma once

#include <algorithm>
#include <string_view>
#include <vector>

namespace coriandergate::config {

// findByName() is the entry of that name in a list sorted by name, or null. Safe from any thread.
template <typename Entry>
[[nodiscard]] auto findByName(const std::vector<Entry>& sorted, std::string_view name) -> const Entry*
{
    const auto found = std::lower_bound(sorted.begin(), sorted.end(), name,
        [](const Entry& entry, std::string_view wanted) { return entry.name < wanted; });
    return found != sorted.end() && found->name == name ? &*found : nullptr;
}

} // namespace coriandergate::config
