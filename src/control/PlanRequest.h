// What an operator wants planned.
#pragma once

#include "base/Clock.h"
#include "base/Error.h"
#include "config/Configuration.h"

#include <functional>
#include <optional>
#include <string>

namespace coriandergate::control {

// PlanRequest carries the intent as a function of the version that it is planned against: it makes the next version, or
// fails with a reason.
struct PlanRequest {
    using Intent
        = std::function<std::optional<config::Configuration>(const config::Configuration& base, Error& reason)>;

    std::string operatorName;
    std::string purpose;
    WallTime at;
    Intent intent;
};

} // namespace coriandergate::control
