// What leads from one configuration to a later one, so that a small change travels as a small message.
//
//   const auto delta = deltaBetween(before, after);
//   auto copy = applyDelta(before, delta, reason); // equal to `after`, checked by its digest
#pragma once

#include "base/Error.h"
#include "config/ClientAccount.h"
#include "config/ConfigurationHead.h"
#include "config/EntryChanges.h"
#include "config/Route.h"
#include "config/Service.h"

#include <optional>
#include <string>
#include <string_view>

namespace coriandergate::config {

struct Configuration;

// ConfigurationDelta is a value; `from` and `to` name the configurations at its ends.
struct ConfigurationDelta {
    ConfigurationHead from;
    ConfigurationHead to;
    EntryChanges<Service> services;
    EntryChanges<ClientAccount> clientAccounts;
    EntryChanges<Route> routes;

    friend auto operator==(const ConfigurationDelta&, const ConfigurationDelta&) -> bool = default;
};

// deltaBetween() compares two configurations whose entries are sorted by name. Safe from any thread.
[[nodiscard]] auto deltaBetween(const Configuration& before, const Configuration& after) -> ConfigurationDelta;

// applyDelta() makes the later configuration. It refuses a delta that starts elsewhere and a result whose digest is not
// that of `delta.to`; the caller then takes the whole snapshot. Safe from any thread.
[[nodiscard]] auto applyDelta(const Configuration& before, const ConfigurationDelta& delta, Error& reason)
    -> std::optional<Configuration>;

// encodeDelta() is the binary form (CBOR). Safe from any thread.
[[nodiscard]] auto encodeDelta(const ConfigurationDelta& delta) -> std::string;

// decodeDelta() reads what encodeDelta() wrote. Safe from any thread.
[[nodiscard]] auto decodeDelta(std::string_view bytes, Error& reason) -> std::optional<ConfigurationDelta>;

} // namespace coriandergate::config
