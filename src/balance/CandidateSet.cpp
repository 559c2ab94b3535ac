#include "balance/CandidateSet.h"

#include <algorithm>
#include <utility>

namespace coriandergate::balance {

namespace {
    auto totalSlots(const std::vector<CandidatePointer>& candidates) -> double
    {
        auto slots = 0.0;
        for (const auto& candidate : candidates)
            slots += candidate->description().slots;
        return slots;
    }

    // selectUsable() returns the usable candidates, and enough of the ejected and avoided ones to meet the floor and to
    // return at least one.
    auto selectUsable(const std::vector<CandidatePointer>& all, double healthyFloor, MonotonicTime now)
        -> std::vector<CandidatePointer>
    {
        std::vector<CandidatePointer> usable;
        std::vector<CandidatePointer> ejectedOrAvoided; // but able to serve
        for (const auto& candidate : all) {
            if (candidate->isUsable(now))
                usable.push_back(candidate);
            else if (candidate->canServe(now))
                ejectedOrAvoided.push_back(candidate);
        }
        std::ranges::sort(
            ejectedOrAvoided, {}, [](const auto& candidate) { return candidate->ejectedOrAvoidedUntil(); });
        const auto floorSlots = healthyFloor * totalSlots(all);
        auto slots = totalSlots(usable);
        for (const auto& candidate : ejectedOrAvoided) {
            if (slots >= floorSlots && !usable.empty())
                break;
            usable.push_back(candidate);
            slots += candidate->description().slots;
        }
        return usable;
    }
}

auto CandidateSet::build(std::vector<CandidatePointer> all, const Locality& ownLocality, double healthyFloor,
    MonotonicTime now) -> CandidateSet
{
    CandidateSet set;
    set.ownLocality = ownLocality;
    set.all = std::move(all);
    auto sum = std::chrono::microseconds(0);
    std::int64_t measuredCount = 0;
    for (const auto& candidate : selectUsable(set.all, healthyFloor, now)) {
        const auto& locality = candidate->description().locality;
        auto& group = locality.region == ownLocality.region ? set.sameRegion : set.otherRegions;
        group.push_back(candidate);
        if (locality == ownLocality)
            set.sameDataCentre.push_back(candidate);
        if (const auto latency = candidate->latency(std::chrono::microseconds(0), now); latency.count() > 0) {
            sum += latency;
            ++measuredCount;
        }
    }
    set.meanLatency = measuredCount > 0 ? sum / measuredCount : sum;
    return set;
}

} // namespace coriandergate::balance
