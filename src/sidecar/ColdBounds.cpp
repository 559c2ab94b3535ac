#include "sidecar/ColdBounds.h"

#include "config/Configuration.h"
#include "sidecar/HostSettings.h"

#include <algorithm>

namespace coriandergate::sidecar {

auto arrivalBound(const HostSettings& settings, const config::Configuration& configuration, std::string_view service)
    -> std::optional<dispatch::WarmUp::Bound>
{
    if (settings.coldOverage <= 0)
        return dispatch::WarmUp::Bound {};
    const auto found = std::find_if(configuration.services.begin(), configuration.services.end(),
        [service](const config::Service& candidate) { return candidate.name == service; });
    if (found == configuration.services.end())
        return std::nullopt;
    return dispatch::WarmUp::Bound { .requestsPerSecond = found->coldRequestsPerSecond,
        .overage = settings.coldOverage,
        .slack = settings.coldSlack,
        .coldTime = found->coldTime };
}

auto coldServices(const HostSettings& settings, const config::Configuration& configuration)
    -> std::map<std::string, dispatch::ColdService, std::less<>>
{
    std::map<std::string, dispatch::ColdService, std::less<>> services;
    for (const auto& service : configuration.services) {
        const auto warmRate = service.coldRequestsPerSecond * settings.coldOverage + settings.coldSlack;
        if (settings.coldOverage > 0 && service.coldRequestsPerSecond > 0)
            services[service.name]
                = { .fraction = std::min(1.0, service.coldRequestsPerSecond / warmRate), .coldTime = service.coldTime };
    }
    return services;
}

} // namespace coriandergate::sidecar
