// Durations of the seat lease protocol. All daemons of a fleet should use the same values.
#pragma once

#include <chrono>

namespace coriandergate::seat {

// SeatLeaseOptions holds the durations. A grantor's response carries its own lease duration, so that leases stay safe
// when the settings of two daemons differ.
struct SeatLeaseOptions {
    std::chrono::milliseconds leaseDuration { 2000 };
    std::chrono::milliseconds renewalInterval { 600 }; // between requests once a majority has granted a lease
    std::chrono::milliseconds retryInterval { 150 }; // between requests until then
    std::chrono::milliseconds takeoverDelayPerRank { 1000 }; // a successor of rank n waits n - 1 times this longer
    // Taken off every lease held and added to every wait for another to expire. Covers clock drift and a pause at the
    // end of a lease.
    std::chrono::milliseconds clockMargin { 20 };
};

} // namespace coriandergate::seat
