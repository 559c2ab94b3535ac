#include "sidecar/RowCleaner.h"

#include "dispatch/LoadBalancer.h"
#include "fleet/StoreView.h"
#include "log/Event.h"
#include "relay/CrashRegistry.h"

#include <algorithm>
#include <utility>

namespace coriandergate::sidecar {

using std::chrono::milliseconds;

namespace {

    const log::Event unreachableHostRemoved { 1935, log::Severity::Warning, "host taken for gone",
        "its daemon was unreachable for 15 s; its row is removed, or marked as departed if its target drains, and the "
        "daemon writes it again if it is running" };

    const log::Event drainWrittenAgain { 1978, log::Severity::Info, "drain of another host written again",
        "the store came back from an older copy in which the host's target still served" };

    // Until then the daemon beside the target usually has written its row again.
    constexpr milliseconds lostDrainDelay { 600 };
    // Hosts of a region that write lost drains of the others, so that one may be unreachable.
    constexpr std::size_t lostDrainWriters = 2;

    // A daemon that is unreachable for this time despite attempts is considered dead. Restarts and pauses are
    // shorter.
    constexpr milliseconds unreachableHostTimeout { 15000 };
    constexpr milliseconds unreachableHostCheckPeriod { 8000 }; // minimum; the maximum is twice that
    // How long the row of a departed host is kept: far longer than a target runs on after its deregistration, and than
    // its heartbeats may be delayed.
    constexpr std::chrono::minutes departedRowLifetime { 10 };
    constexpr std::size_t maximumRowRemovals = 64; // in one check, so that the store isn't flooded
} // namespace

RowCleaner::RowCleaner(
    boost::asio::io_context& io, fleet::StoreView& view, const dispatch::LoadBalancer& balancer, Options options)
    : m_view(view)
    , m_balancer(balancer)
    , m_options(std::move(options))
    , m_timer(io)
    , m_restoreTimer(io)
{
}

auto RowCleaner::start() -> void
{
    // The period is random, so that usually a single host removes the row of a dead host.
    std::uniform_int_distribution<milliseconds::rep> period(
        unreachableHostCheckPeriod.count(), 2 * unreachableHostCheckPeriod.count());
    m_timer.expires_after(milliseconds(period(m_random)));
    m_timer.async_wait([this](const boost::system::error_code& error) {
        if (error || m_isStopped)
            return;
        removeUnreachableHosts();
        removeExpiredRows();
        start();
    });
}

auto RowCleaner::stop() -> void
{
    m_isStopped = true;
    m_timer.cancel();
    m_restoreTimer.cancel();
}

auto RowCleaner::onHostsChanged() -> void
{
    if (m_isStopped || m_isRestoreScheduled || m_view.directory().hostsWithLostDrain().empty())
        return;
    m_isRestoreScheduled = true;
    m_restoreTimer.expires_after(lostDrainDelay);
    m_restoreTimer.async_wait([this](const boost::system::error_code& error) {
        if (error || m_isStopped)
            return;
        m_isRestoreScheduled = false;
        restoreLostDrains();
    });
}

auto RowCleaner::mustRestore(const std::string& host) const -> bool
{
    const auto& directory = m_view.directory();
    const auto* record = directory.find(host);
    if (!record || host == m_options.hostKey || record->locality.region != m_options.locality.region)
        return false;
    auto writers = directory.hostsInRegion(m_options.locality.region);
    std::erase(writers, host);
    writers.resize(std::min(writers.size(), lostDrainWriters));
    return std::find(writers.begin(), writers.end(), m_options.hostKey) != writers.end();
}

auto RowCleaner::restoreLostDrains() -> void
{
    const auto& directory = m_view.directory();
    for (const auto& host : directory.hostsWithLostDrain()) {
        if (!mustRestore(host))
            continue;
        ++m_drainsWrittenAgain;
        log::logEvent(
            drainWrittenAgain, { { "host", host }, { "row-version", std::to_string(directory.version(host)) } });
        replaceRow(host, fleet::encodeHostRecord(*directory.find(host)));
    }
}

// As long as the row of a dead host remains, the host keeps its share of the limits that are divided among all hosts.
// If a host is running after all, it writes its row again.
auto RowCleaner::removeUnreachableHosts() -> void
{
    const auto now = monotonicNow();
    const auto& directory = m_view.directory();
    for (const auto& host : directory.hostsInDataCentre(m_options.locality)) {
        // The writes below may change the directory.
        const auto* record = directory.find(host);
        if (!record || host == m_options.hostKey
            || !m_balancer.isUnreachableFor(record->peerAddress, unreachableHostTimeout, now))
            continue;
        log::logEvent(
            unreachableHostRemoved, { { "host", host }, { "row-version", std::to_string(directory.version(host)) } });
        replaceRow(host, remainingRow(*record));
    }
}

// The row of a host whose target drains outlives the host for a while, because its daemon may come back while the
// target still runs. Any other row is removed.
auto RowCleaner::remainingRow(const fleet::HostRecord& record) const -> std::optional<std::string>
{
    const auto storeTime = m_view.hostListFreshness().storeTime(SuspendAwareClock::now());
    if (record.state != fleet::HostRecord::State::Draining || !storeTime)
        return std::nullopt;
    return fleet::encodeHostRecord(fleet::makeDeparted(record, *storeTime));
}

auto RowCleaner::replaceRow(const std::string& key, const std::optional<std::string>& value) -> void
{
    m_view.client().write(
        { m_options.table, key, m_view.directory().version(key), value }, [](const fleet::StoreClient::Result&) {
            // If the row has changed or the store is unavailable, the row stays and the next check decides again.
        });
}

// One host of each region removes what has expired.
auto RowCleaner::removeExpiredRows() -> void
{
    const auto& directory = m_view.directory();
    const auto hosts = directory.hostsInRegion(m_options.locality.region);
    const auto storeTime = m_view.hostListFreshness().storeTime(SuspendAwareClock::now());
    if (!storeTime || hosts.empty() || hosts.front() != m_options.hostKey)
        return;
    auto expired = directory.hostsDepartedBefore(m_options.locality.region, *storeTime - departedRowLifetime);
    const auto marks
        = directory.crashRowsBefore(m_options.locality.region, *storeTime - relay::CrashRegistry::s_markLifetime);
    expired.insert(expired.end(), marks.begin(), marks.end());
    expired.resize(std::min(expired.size(), maximumRowRemovals));
    for (const auto& key : expired)
        replaceRow(key, std::nullopt);
}

} // namespace coriandergate::sidecar
