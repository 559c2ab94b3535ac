#include "daemon/BalancedTargetChooser.h"

#include "config/Snapshot.h"
#include "member/TargetRegistry.h"
#include "proxy/AttemptObserver.h"
#include "proxy/ProxyContext.h"

#include <algorithm>
#include <random>
#include <utility>

namespace coriandergate::daemon {

namespace {

    constexpr auto ejectionMemory = std::chrono::milliseconds(500); // renewed by refresh()
    constexpr auto failurePenalty = std::chrono::milliseconds(500); // a target that fails fast must not look fast
    constexpr auto crashMemory = std::chrono::milliseconds(3000); // its announcement expires meanwhile, or is renewed
    constexpr auto noListenerMemory = std::chrono::milliseconds(500);
    constexpr auto undeclaredFloor = 0.7;

    auto drawRandom() -> std::uint64_t
    {
        thread_local std::mt19937_64 s_engine { std::random_device {}() };
        return s_engine();
    }

} // namespace

BalancedTargetChooser::BalancedTargetChooser(
    const proxy::ProxyContext& context, const balance::TargetChooser::Options& options)
    : m_context(context)
    , m_chooser(options)
{
}

auto BalancedTargetChooser::choose(std::string_view service, std::span<const std::string> excluded, MonotonicTime now)
    -> std::optional<proxy::TargetChoice>
{
    if (m_version.load() != m_context.targets->version())
        takeOverTargets(now);
    const std::vector<std::string_view> without(excluded.begin(), excluded.end());
    const auto candidate = m_chooser.choose(service, without, drawRandom(), now);
    if (!candidate)
        return std::nullopt;
    candidate->start();
    const auto& description = candidate->description();
    return proxy::TargetChoice { std::string(service), description.address, m_context.self, description.locality,
        note(candidate, now) };
}

auto BalancedTargetChooser::finished(
    const proxy::TargetChoice& choice, const proxy::AttemptReport& report, MonotonicTime now) -> void
{
    using Result = proxy::AttemptReport::Result;
    const auto [candidate, sentAt] = take(choice.ticket);
    if (!candidate)
        return;
    const auto total = std::chrono::duration_cast<std::chrono::microseconds>(report.totalTime);
    if (report.result == Result::Answered)
        candidate->finish(total, now);
    else if (report.result == Result::Failed || report.result == Result::Unreachable)
        candidate->finish(std::max<std::chrono::microseconds>(total, failurePenalty), now);
    else
        candidate->abandon();
    if (!report.owner)
        return;
    // Refused although the target was tried: nobody listens there.
    const auto hasNoListener
        = report.result == Result::Refused && report.owner->serviceTime > MonotonicDuration::zero();
    if (report.owner->hasTargetCrashed)
        candidate->setGoneUntil(now + crashMemory);
    else if (hasNoListener)
        candidate->setGoneUntil(now + noListenerMemory);
    balance::LoadReport load;
    load.busySlots = static_cast<int>(report.owner->busySlots);
    load.queued = static_cast<int>(report.owner->waiting);
    load.isDraining = candidate->isDraining();
    candidate->applyLoad(load, sentAt, now);
}

auto BalancedTargetChooser::refresh(MonotonicTime now) -> void
{
    takeOverTargets(now);
    const MutexLock lock(m_mutex);
    for (const auto& service : m_services)
        for (const auto& candidate : m_chooser.candidates(service))
            if (m_context.observer && m_context.observer->isEjected(service, candidate->description().address, now))
                candidate->setAvoidedUntil(now + ejectionMemory);
    m_chooser.refresh(now);
}

auto BalancedTargetChooser::takeOverTargets(MonotonicTime now) -> void
{
    const MutexLock lock(m_mutex);
    const auto snapshot = m_context.targets->snapshot(now);
    if (m_version.exchange(snapshot.version) == snapshot.version)
        return;
    std::map<std::string, std::vector<balance::TargetDescription>> targets;
    std::unordered_map<std::string, MonotonicTime> startedAt;
    for (const auto& service : m_services)
        targets[service] = {};
    for (const auto& target : snapshot.targets) {
        const auto& announcement = target.announcement;
        const auto known = m_startedAt.find(announcement.address);
        const auto started = known != m_startedAt.end() ? known->second : now;
        startedAt[announcement.address] = started;
        targets[announcement.service].push_back({ announcement.address, m_context.self.address, m_context.locality,
            static_cast<int>(announcement.slots), started, target.state == member::TargetState::Draining });
    }
    m_startedAt = std::move(startedAt);
    const auto configuration = m_context.snapshot();
    for (const auto& [service, descriptions] : targets) {
        const auto* declared = configuration ? configuration->service(service) : nullptr;
        m_services.insert(service);
        m_chooser.setTargets(service, descriptions, declared ? declared->healthyFloor : undeclaredFloor, now);
    }
}

auto BalancedTargetChooser::note(balance::CandidatePointer candidate, MonotonicTime now) -> std::uint64_t
{
    const auto ticket = m_nextTicket.fetch_add(1, std::memory_order_relaxed);
    auto& shard = m_shards[ticket % s_shardCount];
    const MutexLock lock(shard.mutex);
    shard.choices.emplace(ticket, UnderWay { std::move(candidate), now });
    return ticket;
}

auto BalancedTargetChooser::take(std::uint64_t ticket) -> UnderWay
{
    auto& shard = m_shards[ticket % s_shardCount];
    const MutexLock lock(shard.mutex);
    const auto node = shard.choices.extract(ticket);
    return node ? std::move(node.mapped()) : UnderWay();
}

} // namespace coriandergate::daemon
