// A service: what is declared about the targets that announce themselves under its name.
#pragma once

#include <string>
#include <vector>

namespace coriandergate::config {

// Service is one entry of a Configuration.
struct Service {
    std::string name;
    double healthyFloor = 0.7; // fraction of the announced targets that ejections must leave in service, 0 to 1
    std::vector<std::string> preferredDataCentres; // in order; empty: the caller's own first

    friend auto operator==(const Service&, const Service&) -> bool = default;
};

} // namespace coriandergate::config
