#include "balance/Policy.h"

#include <algorithm>

namespace coriandergate::balance {

namespace {
    constexpr auto drawsUntilGivenUp = 8;
    constexpr std::size_t looksUntilGivenUp = 64;
    constexpr auto leastLatency = std::chrono::microseconds(100);

    using Candidates = std::vector<CandidatePointer>;

    // Draw yields a sequence of random numbers from one (splitmix64).
    class Draw {
    public:
        explicit Draw(std::uint64_t seed)
            : m_state(seed)
        {
        }

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

    struct Chooser {
        const CandidateSet& set;
        std::span<const std::string_view> excluded;
        std::uint64_t random;
        MonotonicTime now;

        auto isAllowed(const Candidate& candidate) const -> bool
        {
            return std::ranges::find(excluded, candidate.description().address) == excluded.end();
        }

        // one() draws a candidate; where a few draws find none that serves, it looks through a bounded stretch.
        auto one(const Candidates& from, Draw& draw, const Candidate* other = nullptr) const -> Candidate*
        {
            for (auto i = 0; i < drawsUntilGivenUp && !from.empty(); ++i) {
                auto* const candidate = from[draw.below(from.size())].get();
                if (candidate != other && isAllowed(*candidate) && candidate->canServe(now))
                    return candidate;
            }
            return scan(from, draw, other);
        }

        auto scan(const Candidates& from, Draw& draw, const Candidate* other) const -> Candidate*
        {
            Candidate* spare = nullptr;
            const auto start = from.empty() ? 0 : draw.below(from.size());
            for (std::size_t i = 0; i < std::min(from.size(), looksUntilGivenUp); ++i) {
                auto* const candidate = from[(start + i) % from.size()].get();
                if (candidate == other || !isAllowed(*candidate))
                    continue;
                if (candidate->canServe(now))
                    return candidate;
                spare = candidate;
            }
            return spare;
        }

        auto share(const PowerOfTwoChoices& policy, const Candidate& candidate) const -> float
        {
            const std::chrono::duration<float> age = now - candidate.description().startedAt;
            const auto warmth = std::clamp(age / std::chrono::duration<float>(policy.warmUp), 0.0f, 1.0f);
            return policy.coldShare + (1 - policy.coldShare) * warmth;
        }

        auto load(const Candidate& candidate) const -> float
        {
            return candidate.outstanding(now) / static_cast<float>(std::max(1, candidate.description().slots));
        }

        auto score(const PowerOfTwoChoices& policy, const Candidate& candidate) const -> float
        {
            const auto& locality = candidate.description().locality;
            const auto usual = std::max(set.usualLatency, leastLatency);
            const auto latency = std::max(candidate.latency(usual, now), leastLatency);
            auto score = static_cast<float>(latency.count()) * (1 + load(candidate));
            score *= candidate.isLessPreferred() ? policy.lessPreferredFactor : 1;
            if (locality.region != set.here.region)
                return score + static_cast<float>(policy.regionPenalty.count());
            return score + (locality == set.here ? 0.0f : static_cast<float>(policy.dataCentrePenalty.count()));
        }

        auto better(const PowerOfTwoChoices& policy, Candidate* left, Candidate* right) const -> Candidate*
        {
            if (left == nullptr || right == nullptr)
                return left != nullptr ? left : right;
            if (left->canServe(now) != right->canServe(now))
                return left->canServe(now) ? left : right;
            return score(policy, *left) <= score(policy, *right) ? left : right;
        }

        // A new target that its warm-up does not yet admit gives way to the other one drawn.
        auto isAdmitted(const PowerOfTwoChoices& policy, const Candidate& candidate, Draw& draw) const -> bool
        {
            constexpr std::size_t steps = 1 << 16;
            return static_cast<float>(draw.below(steps)) < share(policy, candidate) * static_cast<float>(steps);
        }

        auto operator()(const PowerOfTwoChoices& policy) const -> Candidate*
        {
            Draw draw(random);
            auto* const first = one(set.near.empty() ? set.region : set.near, draw);
            auto* const second = one(set.region, draw, first);
            auto* best = better(policy, first, second);
            auto* const other = best == first ? second : first;
            if (best != nullptr && other != nullptr && other->canServe(now) && !isAdmitted(policy, *best, draw))
                best = other;
            if (best != nullptr && best->canServe(now) && load(*best) < policy.farLoad)
                return best;
            auto* const far = better(policy, one(set.far, draw), one(set.far, draw));
            return better(policy, best, far);
        }

        auto operator()(const RoundRobin& policy) const -> Candidate*
        {
            for (std::size_t i = 0; i < std::min(set.all.size(), looksUntilGivenUp); ++i) {
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
                    && (best == nullptr || candidate->outstanding(now) < best->outstanding(now)))
                    best = candidate.get();
            return best;
        }
    };
}

auto pick(const Policy& policy, const CandidateSet& set, std::span<const std::string_view> excluded,
    std::uint64_t random, MonotonicTime now) -> CandidatePointer
{
    auto* const chosen = std::visit(Chooser { set, excluded, random, now }, policy);
    return chosen != nullptr ? chosen->shared_from_this() : nullptr;
}

} // namespace coriandergate::balance
