#include "config/Snapshot.h"

#include <algorithm>
#include <utility>

namespace coriandergate::config {

namespace {

    template <typename Entry> auto findByName(const std::vector<Entry>& sorted, std::string_view name) -> const Entry*
    {
        const auto found = std::lower_bound(sorted.begin(), sorted.end(), name,
            [](const Entry& entry, std::string_view wanted) { return entry.name < wanted; });
        return found != sorted.end() && found->name == name ? &*found : nullptr;
    }

} // namespace

Snapshot::Snapshot(std::shared_ptr<const Configuration> accepted)
    : configuration(std::move(accepted))
    , routes(configuration)
    , keys(configuration)
{
}

auto Snapshot::service(std::string_view name) const -> const Service*
{
    return findByName(configuration->services, name);
}

auto Snapshot::clientAccount(std::string_view name) const -> const ClientAccount*
{
    return findByName(configuration->clientAccounts, name);
}

} // namespace coriandergate::config
