// Chooses the target of each request among the candidates of its service.
//
// With PowerOfTwoChoices, a choice costs the same for one target as for 22,000. Each thread reads one of several
// replicas of the candidate sets, whose lock it shares with few other threads. Updates are rare and write every
// replica.
//
//   TargetChooser chooser({ .ownLocality = { "gujarat", "rajkot-1" } });
//   chooser.setTargets("ledger", descriptions, healthyFloor, now);
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
        Locality ownLocality;
        Policy policy;
    };

    explicit TargetChooser(const Options& options);

    // setTargets() replaces the targets of `service`. Targets whose description is unchanged keep their load and
    // latency data. `healthyFloor` (0 to 1) is the fraction of slots below which ejected and avoided targets are used
    // again.
    auto setTargets(const std::string& service, std::span<const TargetDescription> targets, double healthyFloor,
        MonotonicTime now) -> void;

    // refresh() rebuilds the candidate sets, because ejections and avoidances have begun or ended. Call it a few times
    // a second.
    auto refresh(MonotonicTime now) -> void;

    // choose() picks a target of `service` whose address is not in `excludedAddresses`; null when there is none.
    // `random` is a fresh random number.
    [[nodiscard]] auto choose(std::string_view service, std::span<const std::string_view> excludedAddresses,
        std::uint64_t random, MonotonicTime now) const -> CandidatePointer;

    // candidates() returns all candidates of `service`, usable or not.
    [[nodiscard]] auto candidates(std::string_view service) const -> std::vector<CandidatePointer>;

private:
    using SetPointer = std::shared_ptr<const CandidateSet>;
    using Sets = std::map<std::string, SetPointer, std::less<>>;

    // Each replica has cache lines of its own, to avoid false sharing.
    struct alignas(64) Replica {
        mutable Mutex mutex;
        Sets sets GUARDED_BY(mutex);
    };

    struct ServiceState {
        std::vector<CandidatePointer> candidates;
        double healthyFloor = 0;
    };

    static constexpr std::size_t s_replicaCount = 16;

    REQUIRES(m_updateMutex) auto publishLocked(const std::string& service, MonotonicTime now) -> void;

    const Options m_options;
    mutable Mutex m_updateMutex;
    std::map<std::string, ServiceState, std::less<>> m_services GUARDED_BY(m_updateMutex);
    std::array<Replica, s_replicaCount> m_replicas;
};

} // namespace coriandergate::balance
