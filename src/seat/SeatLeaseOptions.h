// Times of the leases of seats. Every daemon of a fleet should run with the same.
#pragma once

#include <chrono>

namespace coriandergate::seat {

// SeatLeaseOptions holds the times; a guard's answer carries its own lease duration, so that daemons whose settings
// differ stay safe.
struct SeatLeaseOptions {
    std::chrono::milliseconds leaseDuration { 2000 };
    std::chrono::milliseconds renewInterval { 600 };
    std::chrono::milliseconds retryInterval { 150 }; // between two asks for the same promise
    std::chrono::milliseconds successionDelay { 1000 }; // a successor of rank n waits n - 1 times this longer
    std::chrono::milliseconds margin { 20 }; // taken off every lease for drift of clocks and a pause at its end
};

} // namespace coriandergate::seat
