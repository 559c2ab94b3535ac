#include "daemon/BalancedTargetChooser.h"

#include "config/Snapshot.h"
#include "member/PeerTable.h"
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

BalancedTargetChooser::BalancedTargetChooser(const proxy::ProxyContext& context,
    std::shared_ptr<member::PeerTable> peers, const balance::TargetChooser::Options& options)
    : m_context(context)
    , m_peers(std::move(peers))
    , m_paths({})
    , m_chooser(options)
{
}

auto BalancedTargetChooser::choose(std::string_view service, std::span<const std::string> excluded, MonotonicTime now)
    -> std::optional<proxy::TargetChoice>
{
    takeOverTargets(now);
    const std::vector<std::string_view> without(excluded.begin(), excluded.end());
    const auto candidate = m_chooser.choose(service, without, drawRandom(), now);
    if (!candidate)
        return std::nullopt;
    candidate->start();
    const auto& description = candidate->description();
    return proxy::TargetChoice { std::string(service), description.address, description.owner, description.locality,
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
    notePath(candidate->description(), report, now);
    if (!report.owner)
        return;
    // Refused although the target was tried: nobody listens there.
    const auto hasNoListener
        = report.result == Result::Refused && report.owner->serviceTime > MonotonicDuration::zero();
    if (report.owner->hasTargetCrashed)
        candidate->setUnavailableUntil(now + crashMemory);
    else if (hasNoListener)
        candidate->setUnavailableUntil(now + noListenerMemory);
    balance::LoadReport load;
    load.busySlots = static_cast<int>(report.owner->busySlots);
    load.waiting = static_cast<int>(report.owner->waiting);
    load.isDraining = candidate->isDraining();
    candidate->applyLoadReport(load, sentAt, now);
}

// What the owner does not account for was spent on the way to it. A path is judged from here, for this daemon only.
auto BalancedTargetChooser::notePath(
    const balance::TargetDescription& target, const proxy::AttemptReport& report, MonotonicTime now) -> void
{
    if (target.owner == m_context.self)
        return;
    if (report.result == proxy::AttemptReport::Result::Unreachable)
        m_paths.observeLoss(target.owner.address, now);
    if (report.result != proxy::AttemptReport::Result::Answered || !report.owner)
        return;
    const auto path = report.totalTime - report.owner->serviceTime - report.owner->queueTime;
    m_paths.observe(
        target.owner.address, target.locality, std::chrono::duration_cast<std::chrono::microseconds>(path), now);
}

auto BalancedTargetChooser::refresh(MonotonicTime now) -> void
{
    takeOverTargets(now);
    const MutexLock lock(m_mutex);
    for (const auto& service : m_services) {
        for (const auto& candidate : m_chooser.candidates(service)) {
            const auto& target = candidate->description();
            const auto isLocal = target.owner == m_context.self;
            const auto isOut = isLocal
                ? m_context.observer && m_context.observer->isEjected(service, target.address, now)
                : m_paths.isAvoided(target.owner.address, now);
            if (isOut)
                candidate->setAvoidedUntil(now + ejectionMemory);
        }
    }
    m_chooser.refresh(now);
}

auto BalancedTargetChooser::presentVersions() const -> Versions
{
    return { m_context.targets->version(), m_peers->current()->version };
}

auto BalancedTargetChooser::takeOverTargets(MonotonicTime now) -> void
{
    const auto versions = presentVersions();
    const MutexLock lock(m_mutex);
    if (m_versions == versions)
        return;
    m_versions = versions;
    auto targets = describeAll(now);
    for (const auto& service : m_services)
        targets.try_emplace(service);
    std::unordered_map<std::string, MonotonicTime> startedAt;
    const auto configuration = m_context.snapshot();
    for (auto& [service, descriptions] : targets) {
        for (auto& description : descriptions) {
            const auto known = m_startedAt.find(description.address);
            description.startedAt = known != m_startedAt.end() ? known->second : now;
            startedAt[description.address] = description.startedAt;
        }
        const auto* declared = configuration ? configuration->service(service) : nullptr;
        m_services.insert(service);
        m_chooser.setTargets(service, descriptions, declared ? declared->healthyFloor : undeclaredFloor, now);
    }
    m_startedAt = std::move(startedAt);
}

auto BalancedTargetChooser::describeAll(MonotonicTime now) const -> Descriptions
{
    Descriptions targets;
    for (const auto& target : m_context.targets->snapshot(now).targets) {
        const auto& announcement = target.announcement;
        targets[announcement.service].push_back({ announcement.address, m_context.self, m_context.locality,
            static_cast<int>(announcement.slots), now, target.state == member::TargetState::Draining });
    }
    const auto peers = m_peers->current();
    for (const auto& [service, locations] : peers->targets)
        for (const auto& location : locations)
            targets[service].push_back(
                { location.address, location.owner, location.locality, static_cast<int>(location.slots), now, false });
    return targets;
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
