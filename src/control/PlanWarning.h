// Something that an operator should know before confirming a plan.
#pragma once

#include <string>

namespace coriandergate::control {

// PlanWarning names its kind by a stable word (docs/API.md lists them), the entry, and says what is the matter.
struct PlanWarning {
    std::string kind;
    std::string entry;
    std::string text;

    friend auto operator==(const PlanWarning&, const PlanWarning&) -> bool = default;
};

} // namespace coriandergate::control
