// What daemons tell one another about a request that was running when its target crashed.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace coriandergate::poison {

// Standing is how a request with a certain fingerprint is treated.
enum class Standing {
    Clear, // runs like any other
    Suspect, // ran when a target crashed; runs only with a permit of the judge
    Poison, // crashed a target again while it was watched; refused
};

// SuspectNotice is a value. `validFor` counts from its arrival.
struct SuspectNotice {
    std::string service;
    std::uint64_t fingerprint = 0; // of account, method, target and body
    Standing standing = Standing::Clear;
    std::chrono::milliseconds validFor { 0 };

    friend auto operator==(const SuspectNotice&, const SuspectNotice&) -> bool = default;
};

} // namespace coriandergate::poison
