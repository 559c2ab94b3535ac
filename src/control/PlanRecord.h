// The row of a plan in the table service: what its confirmation needs, and whether that took place.
#pragma once

#include "base/Clock.h"
#include "config/ConfigurationHead.h"

#include <cstdint>
#include <string>

namespace coriandergate::control {

// PlanRecord is written when the plan is made, and again, in the transaction that moves the head, when it is confirmed.
struct PlanRecord {
    std::string id;
    std::string author;
    std::string purpose;
    WallTime createdAt;
    config::ConfigurationHead base;
    std::uint64_t baseRowVersion = 0; // of the head row; 0: there was none
    config::ConfigurationHead target;
    std::uint64_t attempt = 0; // grows to keep a commit whose answer was lost from taking effect later
    std::string confirmedBy; // empty: not confirmed

    friend auto operator==(const PlanRecord&, const PlanRecord&) -> bool = default;
};

} // namespace coriandergate::control
