// Durations of the seat lease protocol. All daemons of a fleet should use the same values.
#pragma once

#include <chrono>

namespace coriandergate::seat {

// SeatLeaseOptions holds the durations. Leases stay safe when the durations of two daemons differ: the response of a
// grantor carries the duration that it grants, and the holder uses the shorter one.
struct SeatLeaseOptions {
    std::chrono::milliseconds leaseDuration { 2000 };
    std::chrono::milliseconds renewalInterval { 600 }; // between requests once a majority has granted a lease
    std::chrono::milliseconds retryInterval { 150 }; // between requests until then
    // A successor of rank n waits (n - 1) * takeoverDelayPerRank longer than the one of rank 1.
    std::chrono::milliseconds takeoverDelayPerRank { 1000 };
    // Subtracted from every lease that this daemon holds, and added whenever it waits for the lease of another daemon
    // to expire. Covers clock drift and a pause at the end of a lease.
    std::chrono::milliseconds clockMargin { 20 };
};

} // namespace coriandergate::seat
