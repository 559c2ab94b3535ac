// The candidates of one service, ordered by their distance from this daemon.
//
// A set is immutable; it is built anew when targets come, go, or change between usable and unusable, which is rare next
// to the choices made from it. Choices are made from `near` (own data centre), `region` (own region, `near` included)
// and `far` (other regions).
#pragma once

#include "balance/Candidate.h"

#include <chrono>
#include <memory>
#include <vector>

namespace coriandergate::balance {

using CandidatePointer = std::shared_ptr<Candidate>;

// CandidateSet is a value, shared by pointer to const.
struct CandidateSet {
    Locality here;
    std::vector<CandidatePointer> all;
    std::vector<CandidatePointer> near;
    std::vector<CandidatePointer> region;
    std::vector<CandidatePointer> far;
    std::chrono::microseconds usualLatency { 0 }; // mean over the usable candidates

    // of() sorts out which of `all` are usable at `now`. If they make up less than `floor` (0 to 1) of all slots, those
    // whose ejection or avoidance ends first are used all the same: whatever this daemon has heard, and however late,
    // it never leaves out more capacity than the floor allows.
    [[nodiscard]] static auto of(
        std::vector<CandidatePointer> all, const Locality& here, double floor, MonotonicTime now) -> CandidateSet;
};

} // namespace coriandergate::balance
