// What one daemon knows of one route at one moment.
#pragma once

#include "base/Clock.h"
#include "status/ServiceBoard.h"

#include <cstddef>
#include <optional>
#include <string>

namespace coriandergate::status {

// RouteView is a value.
struct RouteView {
    std::string route;
    std::size_t targets = 0; // that may get new work
    std::optional<MonotonicTime> heardAt; // when the freshest of them was last heard of
    ServiceBoard::Entry last;
    bool isDraining = false; // the daemon is about to stop
};

} // namespace coriandergate::status
