// A service: what is declared about the targets that announce themselves under its name.
#pragma once

#include "config/Placement.h"

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

namespace coriandergate::config {

// Service is one entry of a Configuration.
struct Service {
    std::string name;
    double healthyFloor = 0.7; // fraction of the announced targets that ejections must leave in service, 0 to 1
    std::vector<std::string> preferredDataCentres; // in order; empty: the caller's own first
    std::vector<Placement> placements; // go before preferredDataCentres for the callers that they name
    double coldRequestsPerSecond = 0; // that a target tolerates while it is cold; 0: any number
    std::chrono::milliseconds coldTime { 0 }; // for which a target that has started stays cold

    // dataCentresFor() is the order of preference for callers that enter at `callerDataCentre`; empty: their own first.
    [[nodiscard]] auto dataCentresFor(std::string_view callerDataCentre) const -> const std::vector<std::string>&;

    friend auto operator==(const Service&, const Service&) -> bool = default;
};

} // namespace coriandergate::config
