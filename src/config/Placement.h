// Which data centres serve the callers that enter at one data centre.
#pragma once

#include <string>
#include <vector>

namespace coriandergate::config {

// Placement is one line of a Service. Data centres that it does not name serve these callers only when none of those
// named has a target in service.
struct Placement {
    std::string callerDataCentre;
    std::vector<std::string> dataCentres; // in order of preference

    friend auto operator==(const Placement&, const Placement&) -> bool = default;
};

} // namespace coriandergate::config
