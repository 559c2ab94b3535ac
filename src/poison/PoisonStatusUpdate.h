// What daemons tell one another about a request that was running when its target crashed.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace coriandergate::poison {

// PoisonStatus is how a request with a certain fingerprint is treated.
enum class PoisonStatus {
    Clear, // runs like any other
    Suspect, // ran when a target crashed; runs only with a permit of the judge
    Poison, // crashed a target again while it was watched; refused
};

// PoisonStatusUpdate is a value. `validFor` counts from its arrival.
struct PoisonStatusUpdate {
    std::string service;
    std::uint64_t fingerprint = 0; // of account, method, target and body
    PoisonStatus status = PoisonStatus::Clear;
    std::chrono::milliseconds validFor { 0 };

    friend auto operator==(const PoisonStatusUpdate&, const PoisonStatusUpdate&) -> bool = default;
};

} // namespace coriandergate::poison
