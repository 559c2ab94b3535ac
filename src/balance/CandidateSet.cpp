#include "balance/CandidateSet.h"

#include <algorithm>
#include <utility>

namespace coriandergate::balance {

namespace {
    auto slotsOf(const std::vector<CandidatePointer>& candidates) -> double
    {
        auto slots = 0.0;
        for (const auto& candidate : candidates)
            slots += candidate->description().slots;
        return slots;
    }

    auto usableOf(const std::vector<CandidatePointer>& all, double floor, MonotonicTime now)
        -> std::vector<CandidatePointer>
    {
        std::vector<CandidatePointer> usable;
        std::vector<CandidatePointer> spare;
        for (const auto& candidate : all) {
            if (candidate->isUsable(now))
                usable.push_back(candidate);
            else if (candidate->canServe(now))
                spare.push_back(candidate);
        }
        std::ranges::sort(spare, {}, [](const auto& candidate) { return candidate->unusableUntil(); });
        const auto floorSlots = floor * slotsOf(all);
        auto slots = slotsOf(usable);
        for (const auto& candidate : spare) {
            if (slots >= floorSlots && !usable.empty())
                break;
            usable.push_back(candidate);
            slots += candidate->description().slots;
        }
        return usable;
    }
}

auto CandidateSet::of(std::vector<CandidatePointer> all, const Locality& here, double floor, MonotonicTime now)
    -> CandidateSet
{
    CandidateSet set;
    set.here = here;
    set.all = std::move(all);
    auto sum = std::chrono::microseconds(0);
    std::int64_t known = 0;
    for (const auto& candidate : usableOf(set.all, floor, now)) {
        const auto& locality = candidate->description().locality;
        auto& rest = locality.region == here.region ? set.region : set.far;
        rest.push_back(candidate);
        if (locality == here)
            set.near.push_back(candidate);
        if (const auto latency = candidate->latency(std::chrono::microseconds(0), now); latency.count() > 0) {
            sum += latency;
            ++known;
        }
    }
    set.usualLatency = known > 0 ? sum / known : sum;
    return set;
}

} // namespace coriandergate::balance
