// What the settings and the configuration together say of cold targets.
//
//   if (const auto bound = arrivalBound(settings, configuration, settings.service))
//       targetRelay.setArrivalBound(*bound);
#pragma once

#include "dispatch/ColdService.h"
#include "dispatch/WarmUp.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace coriandergate::config {
struct Configuration;
}

namespace coriandergate::sidecar {

struct HostSettings;

// arrivalBound() is the bound for the targets of `service`, which may say that nothing is metered; nothing if the
// deployment bounds cold targets and the configuration doesn't have the service. Thread-safe.
[[nodiscard]] auto arrivalBound(const HostSettings& settings, const config::Configuration& configuration,
    std::string_view service) -> std::optional<dispatch::WarmUp::Bound>;

// coldServices() are the services whose cold targets take fewer requests than warm ones. Thread-safe.
[[nodiscard]] auto coldServices(const HostSettings& settings, const config::Configuration& configuration)
    -> std::map<std::string, dispatch::ColdService, std::less<>>;

} // namespace coriandergate::sidecar
