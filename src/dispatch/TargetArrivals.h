// How many requests a target may still get in the present second, as the daemon on its host reports it.
//
//   const TargetArrivals arrivals { .limit = 15, .used = 4 };
#pragma once

#include <cstddef>

namespace coriandergate::dispatch {

// TargetArrivals counts requests in a sliding second.
struct TargetArrivals {
    std::size_t limit = 1; // that the target may get; few while it is cold
    std::size_t used = 0; // sent, or granted and about to be sent

    friend auto operator==(const TargetArrivals&, const TargetArrivals&) -> bool = default;
};

} // namespace coriandergate::dispatch
