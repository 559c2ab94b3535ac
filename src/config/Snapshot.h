// One accepted configuration with the indexes that requests need, published as a whole.
//
// A request takes the snapshot once, so that its route, its account and its service come from the same version:
//
//   const std::shared_ptr<const Snapshot> snapshot = keeper.current();
//   const Route* route = snapshot->routes.match(host, path);
//   const ClientAccount* account = snapshot->keys.accountForKey(key);
#pragma once

#include "config/Configuration.h"
#include "config/KeyIndex.h"
#include "config/RouteTable.h"

#include <memory>
#include <string_view>

namespace coriandergate::config {

// Snapshot is immutable; share it by std::shared_ptr<const Snapshot>.
struct Snapshot {
    explicit Snapshot(std::shared_ptr<const Configuration> accepted);

    // service() is the service declared under `name`, or null. Safe from any thread.
    [[nodiscard]] auto service(std::string_view name) const -> const Service*;

    // clientAccount() is the account of that name, or null. Safe from any thread.
    [[nodiscard]] auto clientAccount(std::string_view name) const -> const ClientAccount*;

    std::shared_ptr<const Configuration> configuration;
    RouteTable routes;
    KeyIndex keys;
};

} // namespace coriandergate::config
