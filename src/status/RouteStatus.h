// What one daemon knows about a route at one point in time.
#pragma once

#include "base/Clock.h"
#include "status/ServiceOutcomeTable.h"

#include <cstddef>
#include <optional>
#include <string>

namespace coriandergate::status {

// RouteStatus is a value.
struct RouteStatus {
    std::string route; // name
    std::size_t targetCount = 0; // targets that accept new requests
    std::optional<MonotonicTime> lastSeenAt; // most recent confirmation that any of them is alive
    ServiceOutcomeTable::Entry lastOutcome; // of the route's service
    bool isDraining = false; // the daemon is shutting down
};

} // namespace coriandergate::status
