#include "daemon/HealthMonitor.h"

#include "member/Target.h"

#include <utility>

namespace coriandergate::daemon {

using health::Outcome;

namespace {

    auto outcomeOf(proxy::AttemptEnd end) -> Outcome
    {
        switch (end) {
        case proxy::AttemptEnd::Answered:
            return Outcome::Success;
        case proxy::AttemptEnd::ServerError:
            return Outcome::ServerError;
        case proxy::AttemptEnd::Shed:
            return Outcome::Shed;
        case proxy::AttemptEnd::HalfAnswer:
        case proxy::AttemptEnd::Reset:
            return Outcome::TruncatedResponse;
        case proxy::AttemptEnd::NotConnected:
            return Outcome::ConnectionFailed;
        case proxy::AttemptEnd::TimedOut:
            return Outcome::TimedOut;
        case proxy::AttemptEnd::Cancelled:
            return Outcome::Cancelled;
        }
        return Outcome::Cancelled;
    }

} // namespace

// The observer has its own lock; the rest is guarded here.
struct HealthMonitor::Observed {
    Observed(const member::Target& target, const health::TargetObserver::Options& options, MonotonicTime now)
        : announcement(target.announcement)
        , observer({ announcement.service, announcement.address, static_cast<int>(announcement.slots) }, options, now)
        , regularReportAt(now + options.coldGrace)
    {
    }

    const member::TargetAnnouncement announcement;
    health::TargetObserver observer;
    Mutex mutex;
    health::EjectionLease lease GUARDED_BY(mutex);
    health::Verdict verdict GUARDED_BY(mutex);
    bool isOut GUARDED_BY(mutex) = false;
    bool isDraining GUARDED_BY(mutex) = false;
    MonotonicTime regularReportAt GUARDED_BY(mutex);
    MonotonicTime reportedAt GUARDED_BY(mutex);
};

HealthMonitor::HealthMonitor(const Options& options, Sender sender)
    : m_options(options)
    , m_sender(std::move(sender))
{
}

auto HealthMonitor::began(const std::string& service, const std::string& target, std::uint32_t, MonotonicTime now)
    -> std::uint64_t
{
    const auto observed = find(service, target);
    if (!observed)
        return 0;
    const auto number = m_nextAttempt.fetch_add(1, std::memory_order_relaxed);
    const auto ticket = observed->observer.begin(now);
    auto& shard = m_shards[number % s_shardCount];
    const MutexLock lock(shard.mutex);
    shard.attempts.emplace(number, Attempt { observed, ticket });
    return number;
}

auto HealthMonitor::take(std::uint64_t attempt) -> Attempt
{
    auto& shard = m_shards[attempt % s_shardCount];
    const MutexLock lock(shard.mutex);
    const auto node = shard.attempts.extract(attempt);
    return node ? node.mapped() : Attempt();
}

auto HealthMonitor::ended(
    std::uint64_t attempt, const std::string&, const std::string&, proxy::AttemptEnd end, MonotonicTime now) -> void
{
    const auto taken = take(attempt);
    if (taken.observed)
        taken.observed->observer.finish(taken.ticket, outcomeOf(end), now);
}

auto HealthMonitor::isEjected(const std::string& service, const std::string& target, MonotonicTime now) const -> bool
{
    const auto observed = find(service, target);
    if (!observed)
        return false;
    if (observed->observer.isUnreachable(now))
        return true;
    const MutexLock lock(observed->mutex);
    return observed->lease.isHeld(now);
}

auto HealthMonitor::find(const std::string& service, const std::string& target) const -> ObservedPointer
{
    const MutexLock lock(m_mutex);
    const auto found = m_observed.find(Key(service, target));
    return found != m_observed.end() ? found->second : nullptr;
}

auto HealthMonitor::update(const std::vector<member::Target>& targets, MonotonicTime now) -> std::vector<Change>
{
    std::vector<Change> changes;
    for (const auto& observed : adopt(targets, now))
        endInterval(observed, now, changes);
    return changes;
}

// A target that was started anew is another one: what is known of the one before says nothing about it.
auto HealthMonitor::adopt(const std::vector<member::Target>& targets, MonotonicTime now) -> std::vector<ObservedPointer>
{
    std::vector<ObservedPointer> present;
    std::map<Key, ObservedPointer> adopted;
    const MutexLock lock(m_mutex);
    for (const auto& target : targets) {
        const Key key(target.announcement.service, target.announcement.address);
        const auto found = m_observed.find(key);
        const auto isKnown = found != m_observed.end() && found->second->announcement == target.announcement;
        auto observed = isKnown ? found->second : std::make_shared<Observed>(target, m_options.observer, now);
        {
            const MutexLock observedLock(observed->mutex);
            observed->isDraining = target.state == member::TargetState::Draining;
        }
        present.push_back(observed);
        adopted.emplace(key, std::move(observed));
    }
    m_observed = std::move(adopted);
    return present;
}

auto HealthMonitor::endInterval(const ObservedPointer& observed, MonotonicTime now, std::vector<Change>& changes)
    -> void
{
    const auto isSuspicious = observed->observer.endInterval(now);
    auto isDue = false;
    {
        const MutexLock lock(observed->mutex);
        const auto isHeld = observed->lease.isHeld(now);
        if (observed->isOut != isHeld) {
            const auto& announcement = observed->announcement;
            changes.push_back({ announcement.service, announcement.address, isHeld, observed->verdict });
            if (!isHeld)
                observed->observer.restart(now);
        }
        observed->isOut = isHeld;
        const auto isUrgent = (isSuspicious || isHeld) && now - observed->reportedAt >= m_options.urgentReport;
        const auto isNew = observed->observer.needsBaseline() && now - observed->reportedAt >= m_options.firstReports;
        isDue = isUrgent || isNew || now >= observed->regularReportAt;
    }
    if (isDue)
        report(observed, now);
}

auto HealthMonitor::sendReport(const std::string& service, const std::string& target, MonotonicTime now) -> void
{
    if (const auto observed = find(service, target))
        report(observed, now);
}

auto HealthMonitor::report(const ObservedPointer& observed, MonotonicTime now) -> void
{
    auto report = observed->observer.report(now);
    {
        const MutexLock lock(observed->mutex);
        report.isDraining = observed->isDraining;
        report.holdsEjectionLease = observed->lease.isHeld(now);
        observed->lease.recordReportSent(report.sequence, now);
        observed->reportedAt = now;
        observed->regularReportAt = now + m_options.regularReport;
    }
    m_sender(report, now, [observed](const health::TargetReportResponse& answer) {
        if (answer.baseline)
            observed->observer.setBaseline(*answer.baseline);
        const MutexLock lock(observed->mutex);
        if (answer.isReadmitted)
            observed->lease.release();
        if (!answer.leaseDuration || !observed->lease.accept(answer.sequence, *answer.leaseDuration))
            return;
        if (answer.verdict.decision == health::Decision::Eject)
            observed->verdict = answer.verdict;
    });
}

} // namespace coriandergate::daemon
