#include "balance/Policy.h"

#include <algorithm>

namespace coriandergate::balance {

namespace {
    constexpr auto maxRandomDraws = 8;
    constexpr std::size_t maxScannedCandidates = 64;
    constexpr auto minLatency = std::chrono::microseconds(100);

    using Candidates = std::vector<CandidatePointer>;

    // SplitMix64 is a small pseudo-random generator (G. Steele et al., Fast Splittable Pseudorandom Number Generators,
    // OOPSLA 2014).
    class SplitMix64 {
    public:
        explicit SplitMix64(std::uint64_t seed)
            : m_state(seed)
        {
        }

        // below() is a random number in [0, bound).
        auto below(std::size_t bound) -> std::size_t
        {
            m_state += 0x9e3779b97f4a7c15ULL;
            auto mixed = m_state;
            mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
            mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
            return static_cast<std::size_t>(((mixed ^ (mixed >> 31)) >> 32) * bound >> 32);
        }

    private:
        std::uint64_t m_state;
    };

    // Chooser applies a policy to a set; std::visit() calls the operator() of the policy.
    struct Chooser {
        const CandidateSet& set;
        std::span<const std::string_view> excludedAddresses;
        std::uint64_t seed;
        MonotonicTime now;

        auto isAllowed(const Candidate& candidate) const -> bool
        {
            return std::ranges::find(excludedAddresses, candidate.description().address) == excludedAddresses.end();
        }

        // drawCandidate() picks a random candidate other than `other` that can serve. After maxRandomDraws failed draws
        // it falls back to scan().
        auto drawCandidate(const Candidates& from, SplitMix64& random, const Candidate* other = nullptr) const
            -> Candidate*
        {
            for (auto i = 0; i < maxRandomDraws && !from.empty(); ++i) {
                auto* const candidate = from[random.below(from.size())].get();
                if (candidate != other && isAllowed(*candidate) && candidate->canServe(now))
                    return candidate;
            }
            return scan(from, random, other);
        }

        // scan() looks at up to maxScannedCandidates candidates from a random position on. If none can serve, it
        // returns one that can't serve but is allowed, or null.
        auto scan(const Candidates& from, SplitMix64& random, const Candidate* other) const -> Candidate*
        {
            Candidate* lastResort = nullptr;
            const auto start = from.empty() ? 0 : random.below(from.size());
            for (std::size_t i = 0; i < std::min(from.size(), maxScannedCandidates); ++i) {
                auto* const candidate = from[(start + i) % from.size()].get();
                if (candidate == other || !isAllowed(*candidate))
                    continue;
                if (candidate->canServe(now))
                    return candidate;
                lastResort = candidate;
            }
            return lastResort;
        }

        // warmUpShare() is the share of its full load that a candidate gets, 1 after the warm-up.
        auto warmUpShare(const PowerOfTwoChoices& policy, const Candidate& candidate) const -> float
        {
            const std::chrono::duration<float> age = now - candidate.description().startedAt;
            const auto warmUpProgress = std::clamp(age / std::chrono::duration<float>(policy.warmUp), 0.0f, 1.0f);
            return policy.initialWarmUpShare + (1 - policy.initialWarmUpShare) * warmUpProgress;
        }

        auto requestsPerSlot(const Candidate& candidate) const -> float
        {
            return candidate.outstandingRequests(now) / static_cast<float>(std::max(1, candidate.description().slots));
        }

        // score() is the expected response time in microseconds, with penalties; lower is better.
        auto score(const PowerOfTwoChoices& policy, const Candidate& candidate) const -> float
        {
            const auto& locality = candidate.description().locality;
            const auto fallback = std::max(set.meanLatency, minLatency);
            const auto latency = std::max(candidate.latency(fallback, now), minLatency);
            auto score = static_cast<float>(latency.count()) * (1 + requestsPerSlot(candidate));
            score *= candidate.isLessPreferred() ? policy.lessPreferredPenaltyFactor : 1;
            if (locality.region != set.ownLocality.region)
                return score + static_cast<float>(policy.regionPenalty.count());
            return score + (locality == set.ownLocality ? 0.0f : static_cast<float>(policy.dataCentrePenalty.count()));
        }

        // betterCandidate() prefers a candidate that can serve to one that can't, and then the lower score.
        auto betterCandidate(const PowerOfTwoChoices& policy, Candidate* left, Candidate* right) const -> Candidate*
        {
            if (left == nullptr || right == nullptr)
                return left != nullptr ? left : right;
            if (left->canServe(now) != right->canServe(now))
                return left->canServe(now) ? left : right;
            return score(policy, *left) <= score(policy, *right) ? left : right;
        }

        // passesWarmUp() is randomly true with the probability warmUpShare(). If it is false, the other candidate drawn
        // gets the request.
        auto passesWarmUp(const PowerOfTwoChoices& policy, const Candidate& candidate, SplitMix64& random) const -> bool
        {
            constexpr std::size_t steps = 1 << 16;
            return static_cast<float>(random.below(steps)) < warmUpShare(policy, candidate) * static_cast<float>(steps);
        }

        auto operator()(const PowerOfTwoChoices& policy) const -> Candidate*
        {
            SplitMix64 random(seed);
            auto* const first = drawCandidate(set.sameDataCentre.empty() ? set.sameRegion : set.sameDataCentre, random);
            auto* const second = drawCandidate(set.sameRegion, random, first);
            auto* best = betterCandidate(policy, first, second);
            auto* const other = best == first ? second : first;
            if (best != nullptr && other != nullptr && other->canServe(now) && !passesWarmUp(policy, *best, random))
                best = other;
            if (best != nullptr && best->canServe(now) && requestsPerSlot(*best) < policy.spilloverRequestsPerSlot)
                return best;
            auto* const remote = betterCandidate(
                policy, drawCandidate(set.otherRegions, random), drawCandidate(set.otherRegions, random));
            return betterCandidate(policy, best, remote);
        }

        auto operator()(const RoundRobin& policy) const -> Candidate*
        {
            for (std::size_t i = 0; i < std::min(set.all.size(), maxScannedCandidates); ++i) {
                auto* const candidate = set.all[policy.next->fetch_add(1) % set.all.size()].get();
                if (isAllowed(*candidate) && candidate->isUsable(now))
                    return candidate;
            }
            return nullptr;
        }

        auto operator()(const LeastConnections&) const -> Candidate*
        {
            Candidate* best = nullptr;
            for (const auto& candidate : set.all)
                if (isAllowed(*candidate) && candidate->isUsable(now)
                    && (best == nullptr || candidate->outstandingRequests(now) < best->outstandingRequests(now)))
                    best = candidate.get();
            return best;
        }
    };
}

auto pick(const Policy& policy, const CandidateSet& set, std::span<const std::string_view> excludedAddresses,
    std::uint64_t random, MonotonicTime now) -> CandidatePointer
{
    auto* const chosen = std::visit(Chooser { set, excludedAddresses, random, now }, policy);
    return chosen != nullptr ? chosen->shared_from_this() : nullptr;
}

} // namespace coriandergate::balance
