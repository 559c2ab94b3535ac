#include "config/Service.h"

#include <algorithm>

namespace coriandergate::config {

auto Service::dataCentresFor(std::string_view callerDataCentre) const -> const std::vector<std::string>&
{
    const auto placement = std::find_if(placements.begin(), placements.end(),
        [&](const Placement& candidate) { return candidate.callerDataCentre == callerDataCentre; });
    return placement == placements.end() ? preferredDataCentres : placement->dataCentres;
}

} // namespace coriandergate::config
