// The load of a target, as the daemon on its host reports it.
#pragma once

#include <cstddef>

namespace coriandergate::dispatch {

// TargetLoad counts requests.
struct TargetLoad {
    std::size_t running = 0;
    std::size_t waiting = 0;
    std::size_t slots = 1; // requests that the target runs concurrently

    friend auto operator==(const TargetLoad&, const TargetLoad&) -> bool = default;
};

} // namespace coriandergate::dispatch
