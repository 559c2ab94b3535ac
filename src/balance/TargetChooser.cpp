#include "balance/TargetChooser.h"

#include <algorithm>
#include <atomic>
#include <unordered_map>

namespace coriandergate::balance {

namespace {
    // threadNumber() numbers the threads in the order of their first choice.
    auto threadNumber() -> std::size_t
    {
        static std::atomic<std::size_t> s_next = 0;
        thread_local const auto s_number = s_next.fetch_add(1);
        return s_number;
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
    auto& known = m_known[service];
    std::unordered_map<std::string_view, CandidatePointer> former;
    for (const auto& candidate : known.candidates)
        former[candidate->description().address] = candidate;
    std::vector<CandidatePointer> candidates;
    candidates.reserve(targets.size());
    for (const auto& target : targets) {
        const auto found = former.find(target.address);
        const auto isSame = found != former.end() && found->second->description() == target;
        candidates.push_back(isSame ? found->second : std::make_shared<Candidate>(target));
    }
    known = { std::move(candidates), healthyFloor };
    publishLocked(service, now);
}

auto TargetChooser::refresh(MonotonicTime now) -> void
{
    const MutexLock lock(m_updateMutex);
    for (const auto& [service, known] : m_known)
        publishLocked(service, now);
}

auto TargetChooser::publishLocked(const std::string& service, MonotonicTime now) -> void
{
    const auto& known = m_known[service];
    const auto set = std::make_shared<const CandidateSet>(
        CandidateSet::of(known.candidates, m_options.here, known.healthyFloor, now));
    for (auto& copy : m_copies) {
        const MutexLock lock(copy.mutex);
        copy.sets[service] = set;
    }
}

auto TargetChooser::choose(std::string_view service, std::span<const std::string_view> excluded, std::uint64_t random,
    MonotonicTime now) const -> CandidatePointer
{
    const auto& copy = m_copies[threadNumber() % s_copyCount];
    const MutexLock lock(copy.mutex);
    const auto found = copy.sets.find(service);
    return found != copy.sets.end() ? pick(m_options.policy, *found->second, excluded, random, now) : nullptr;
}

auto TargetChooser::candidates(std::string_view service) const -> std::vector<CandidatePointer>
{
    const MutexLock lock(m_updateMutex);
    const auto found = m_known.find(service);
    return found != m_known.end() ? found->second.candidates : std::vector<CandidatePointer>();
}

} // namespace coriandergate::balance
