// What one daemon knows of one route at one moment.
#pragma once

#include "base/Clock.h"
#include "status/ServiceOutcomeTable.h"

#include <cstddef>
#include <optional>
#include <string>

namespace coriandergate::status {

// RouteStatus is a value.
struct RouteStatus {
    std::string route;
    std::size_t targetCount = 0; // that may get new work
    std::optional<MonotonicTime> lastSeenAt; // when the freshest of them was last heard of
    ServiceOutcomeTable::Entry lastOutcome;
    bool isDraining = false; // the daemon is about to stop
};

} // namespace coriandergate::status
