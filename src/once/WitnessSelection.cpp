#include "once/WitnessSelection.h"

#include <algorithm>

namespace coriandergate::once {

namespace {

    using Member = SeatRebuild::Member;

    auto isFarFrom(const Member& left, const Member& right, bool areSpread) -> bool
    {
        return left.identity != right.identity && (!areSpread || left.dataCentre != right.dataCentre);
    }

} // namespace

auto selectWitnesses(const DaemonIdentity& holder, const Member& owner, std::span<const Member> candidates,
    bool areSpread) -> std::optional<std::vector<Member>>
{
    constexpr std::size_t remembering = 2; // besides the holder
    std::vector<Member> witnesses;
    const auto ownersPart = owner.identity == holder ? 0U : 1U;
    for (const auto& candidate : candidates) {
        const auto isFar = [&](const Member& other) { return isFarFrom(candidate, other, areSpread); };
        const auto helps = (ownersPart == 0 || isFar(owner)) && std::all_of(witnesses.begin(), witnesses.end(), isFar);
        if (candidate.identity == holder || candidate.identity == owner.identity || !helps)
            continue;
        witnesses.push_back(candidate);
        if (witnesses.size() + ownersPart == remembering)
            return witnesses;
    }
    return std::nullopt;
}

} // namespace coriandergate::once
