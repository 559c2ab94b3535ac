#include "balance/TargetChooser.h"

#include <algorithm>
#include <atomic>
#include <unordered_map>

namespace coriandergate::balance {

namespace {
    // threadIndex() numbers the threads in the order of their first call; it selects a thread's replica.
    auto threadIndex() -> std::size_t
    {
        static std::atomic<std::size_t> s_next = 0;
        thread_local const auto s_index = s_next.fetch_add(1);
        return s_index;
    }
}

TargetChooser::TargetChooser(const Options& options)
    : m_options(options)
{
}

auto TargetChooser::setTargets(const std::string& service, std::span<const TargetDescription> targets,
    double healthyFloor, MonotonicTime now) -> void
{
    const MutexLock lock(m_updateMutex);
    auto& state = m_services[service];
    std::unordered_map<std::string_view, CandidatePointer> previous;
    for (const auto& candidate : state.candidates)
        previous[candidate->description().address] = candidate;
    std::vector<CandidatePointer> candidates;
    candidates.reserve(targets.size());
    for (const auto& target : targets) {
        const auto found = previous.find(target.address);
        const auto isSame = found != previous.end() && found->second->description() == target;
        candidates.push_back(isSame ? found->second : std::make_shared<Candidate>(target));
    }
    state = { std::move(candidates), healthyFloor };
    publishLocked(service, now);
}

auto TargetChooser::refresh(MonotonicTime now) -> void
{
    const MutexLock lock(m_updateMutex);
    for (const auto& [service, state] : m_services)
        publishLocked(service, now);
}

auto TargetChooser::publishLocked(const std::string& service, MonotonicTime now) -> void
{
    const auto& state = m_services[service];
    const auto set = std::make_shared<const CandidateSet>(
        CandidateSet::build(state.candidates, m_options.ownLocality, state.healthyFloor, now));
    for (auto& replica : m_replicas) {
        const MutexLock lock(replica.mutex);
        replica.sets[service] = set;
    }
}

auto TargetChooser::choose(std::string_view service, std::span<const std::string_view> excludedAddresses,
    std::uint64_t random, MonotonicTime now) const -> CandidatePointer
{
    const auto& replica = m_replicas[threadIndex() % s_replicaCount];
    const MutexLock lock(replica.mutex);
    const auto found = replica.sets.find(service);
    return found != replica.sets.end() ? pick(m_options.policy, *found->second, excludedAddresses, random, now)
                                       : nullptr;
}

auto TargetChooser::candidates(std::string_view service) const -> std::vector<CandidatePointer>
{
    const MutexLock lock(m_updateMutex);
    const auto found = m_services.find(service);
    return found != m_services.end() ? found->second.candidates : std::vector<CandidatePointer>();
}

} // namespace coriandergate::balance
