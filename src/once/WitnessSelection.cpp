#include "once/WitnessSelection.h"

#include <algorithm>

namespace coriandergate::once {

namespace {

    using Member = SeatRebuild::Member;

    // True if the two daemons are not expected to be lost together.
    auto failIndependently(const Member& left, const Member& right, bool isSpreadAcrossDataCentres) -> bool
    {
        return left.identity != right.identity && (!isSpreadAcrossDataCentres || left.dataCentre != right.dataCentre);
    }

} // namespace

auto selectWitnesses(const DaemonIdentity& holder, const Member& owner, std::span<const Member> candidates,
    bool isSpreadAcrossDataCentres) -> std::optional<std::vector<Member>>
{
    constexpr std::size_t copiesBesidesHolder = 2;
    std::vector<Member> witnesses;
    const auto ownerCopies = owner.identity == holder ? 0U : 1U;
    for (const auto& candidate : candidates) {
        const auto isIndependentOf
            = [&](const Member& other) { return failIndependently(candidate, other, isSpreadAcrossDataCentres); };
        const auto isEligible = (ownerCopies == 0 || isIndependentOf(owner))
            && std::all_of(witnesses.begin(), witnesses.end(), isIndependentOf);
        if (candidate.identity == holder || candidate.identity == owner.identity || !isEligible)
            continue;
        witnesses.push_back(candidate);
        if (witnesses.size() + ownerCopies == copiesBesidesHolder)
            return witnesses;
    }
    return std::nullopt;
}

} // namespace coriandergate::once
