// How the making of a plan ended.
#pragma once

#include "base/Error.h"
#include "control/Plan.h"
#include "control/PlanRecord.h"

#include <variant>

namespace coriandergate::control {

// PlanMade: the plan is kept under its id until somebody confirms it, or forever.
struct PlanMade {
    PlanRecord record;
    Plan plan;
};

// PlanRefused: the intent can't be planned; the error says why.
struct PlanRefused {
    Error error;
};

// PlanNotKept: the store did not take the plan; nothing changes because of it.
struct PlanNotKept {
    Error error;
};

using PlanResult = std::variant<PlanMade, PlanRefused, PlanNotKept>;

} // namespace coriandergate::control
