// One accepted version of everything that operators declare.
//
// A Configuration is immutable once made; readers share it by std::shared_ptr<const Configuration>.
#pragma once

#include "config/CallerLimits.h"
#include "config/ClientAccount.h"
#include "config/Route.h"
#include "config/Service.h"

#include <cstdint>
#include <vector>

namespace coriandergate::config {

// Configuration holds its entries sorted by name. Versions only grow; version 0 is "none yet".
struct Configuration {
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<ClientAccount> clientAccounts;
    // Whether routes that aren't open need an API key. It stays true when no client account is left: then every key has
    // been withdrawn. Read by PolicySnapshot only.
    bool requiresApiKeys = false;
    std::vector<Service> services;
    CallerLimits callerLimits;

    friend auto operator==(const Configuration&, const Configuration&) -> bool = default;
};

} // namespace coriandergate::config
