// Chooses the target of each request, from all the entry knows of the service's candidates.
//
// A choice costs the same for one target and for 22,000. Every thread reads its own copy of the sets, under a lock that
// it shares with few others; updates, which are rare, go through all copies.
//
//   TargetChooser chooser({ .here = { "gujarat", "rajkot-1" } });
//   chooser.setTargets("ledger", descriptions, floor, now);
//   if (const auto target = chooser.choose("ledger", {}, random, now)) {
//       target->start();
//       ...
//       target->finish(latency, now);
//   }
#pragma once

#include "balance/Policy.h"
#include "base/Mutex.h"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace coriandergate::balance {

// TargetChooser keeps the candidates of all services of one daemon. Safe from any thread.
class TargetChooser {
public:
    struct Options {
        Locality here;
        Policy policy;
    };

    explicit TargetChooser(const Options& options);

    // setTargets() takes over which targets of `service` are announced; what is known of those that stay is kept.
    auto setTargets(const std::string& service, std::span<const TargetDescription> targets, double healthyFloor,
        MonotonicTime now) -> void;

    // refresh() sorts usable from unusable candidates anew, to be called a few times a second.
    auto refresh(MonotonicTime now) -> void;

    // choose() picks a target of `service`, none of the addresses in `excluded`; null when there is none. `random` is a
    // fresh random number.
    [[nodiscard]] auto choose(std::string_view service, std::span<const std::string_view> excluded,
        std::uint64_t random, MonotonicTime now) const -> CandidatePointer;

    // candidates() are all candidates of `service`.
    [[nodiscard]] auto candidates(std::string_view service) const -> std::vector<CandidatePointer>;

private:
    using SetPointer = std::shared_ptr<const CandidateSet>;
    using Sets = std::map<std::string, SetPointer, std::less<>>;

    // Copies stand on cache lines of their own.
    struct alignas(64) Copy {
        mutable Mutex mutex;
        Sets sets GUARDED_BY(mutex);
    };

    struct Known {
        std::vector<CandidatePointer> candidates;
        double healthyFloor = 0;
    };

    static constexpr std::size_t s_copyCount = 16;

    REQUIRES(m_updateMutex) auto publishLocked(const std::string& service, MonotonicTime now) -> void;

    const Options m_options;
    mutable Mutex m_updateMutex;
    std::map<std::string, Known, std::less<>> m_known GUARDED_BY(m_updateMutex);
    std::array<Copy, s_copyCount> m_copies;
};

} // namespace coriandergate::balance
