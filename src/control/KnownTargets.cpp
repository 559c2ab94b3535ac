#include "control/KnownTargets.h"

namespace coriandergate::control {

auto KnownTargets::of(const std::string& service) const -> Count
{
    Count sum;
    const auto found = byService.find(service);
    if (found == byService.end())
        return sum;
    for (const auto& [dataCentre, count] : found->second) {
        sum.announced += count.announced;
        sum.healthy += count.healthy;
    }
    return sum;
}

} // namespace coriandergate::control
