// The status of a request in poison detection, and the message that changes it.
//
//   table.apply({ "ledger", fingerprint, PoisonStatus::Suspect, std::chrono::minutes(1) }, now);
#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace coriandergate::poison {

// PoisonStatus says how requests with a given fingerprint are treated.
enum class PoisonStatus {
    Clear, // runs without restrictions
    Suspect, // was running when a target crashed; runs only with a permit of the PoisonDetector
    Poison, // crashed a target again while it held a permit; refused
};

// PoisonStatusUpdate sets the status of one fingerprint for `validFor`, counted from the update's arrival.
struct PoisonStatusUpdate {
    std::string service;
    std::uint64_t fingerprint = 0; // hash of client account, method, HTTP request target and body
    PoisonStatus status = PoisonStatus::Clear;
    std::chrono::milliseconds validFor { 0 };

    friend auto operator==(const PoisonStatusUpdate&, const PoisonStatusUpdate&) -> bool = default;
};

} // namespace coriandergate::poison
