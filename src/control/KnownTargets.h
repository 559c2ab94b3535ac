// How many targets a daemon knows of, for the warnings of a plan.
#pragma once

#include <cstddef>
#include <map>
#include <string>

namespace coriandergate::control {

// KnownTargets counts by service and data centre. Counts are those of the daemon that makes the plan, and may be a few
// seconds old.
struct KnownTargets {
    struct Count {
        std::size_t announced = 0;
        std::size_t healthy = 0;
    };

    std::map<std::string, std::map<std::string, Count>> byService;

    // of() sums a service's counts over all data centres.
    [[nodiscard]] auto of(const std::string& service) const -> Count;
};

} // namespace coriandergate::control
