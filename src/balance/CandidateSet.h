// The candidates of one service, grouped by their distance from this daemon.
//
// A set is immutable. It is rebuilt when targets are added or removed or become usable or unusable, which happens
// rarely compared with the choices made from it. `sameDataCentre`, `sameRegion` (which includes `sameDataCentre`) and
// `otherRegions` hold only the usable candidates.
#pragma once

#include "balance/Candidate.h"

#include <chrono>
#include <memory>
#include <vector>

namespace coriandergate::balance {

using CandidatePointer = std::shared_ptr<Candidate>;

// CandidateSet is a value, shared by pointer to const.
struct CandidateSet {
    Locality ownLocality;
    std::vector<CandidatePointer> all;
    std::vector<CandidatePointer> sameDataCentre;
    std::vector<CandidatePointer> sameRegion;
    std::vector<CandidatePointer> otherRegions;
    std::chrono::microseconds meanLatency { 0 }; // over the usable candidates with a latency sample

    // build() selects which of `all` are usable at `now`. If these have less than `healthyFloor` (0 to 1) of all slots,
    // it adds ejected and avoided candidates, those that become usable first, until the floor is met. So this daemon
    // never takes more capacity out of use than the floor allows, even when its information is late or incomplete.
    [[nodiscard]] static auto build(std::vector<CandidatePointer> all, const Locality& ownLocality, double healthyFloor,
        MonotonicTime now) -> CandidateSet;
};

} // namespace coriandergate::balance
