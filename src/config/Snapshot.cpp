#include "config/Snapshot.h"

#include "config/FindByName.h"

#include <utility>

namespace coriandergate::config {

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
