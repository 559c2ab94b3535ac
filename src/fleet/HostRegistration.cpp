#include "fleet/HostRegistration.h"

#include "base/Error.h"
#include "fleet/Deregistration.h"
#include "fleet/HostDirectory.h"
#include "fleet/LocalTarget.h"
#include "log/Event.h"

#include <boost/asio/io_context.hpp>
#include <memory>

namespace coriandergate::fleet {

using std::chrono::milliseconds;

namespace {

    const log::Event targetChanged { 1927, log::Severity::Info, "target changed",
        "the target of this host and whether it is draining" };
    const log::Event drainNotStored { 1936, log::Severity::Warning, "leaving not confirmed",
        "the store hasn't responded; the target gets no new requests here and is asked to repeat its message" };

    const log::Event rowWrittenAgain { 1976, log::Severity::Info, "host row written again",
        "the store came back from an older copy without it or with an older one" };

    auto isDrainStored(const HostRecord& record) -> bool
    {
        return record.state == HostRecord::State::Draining || record.state == HostRecord::State::Departed;
    }

} // namespace

HostRegistration::HostRegistration(boost::asio::io_context& io, StoreClient& store, LocalTarget& target,
    const HostDirectory& directory, Options options)
    : m_io(io)
    , m_store(store)
    , m_target(target)
    , m_directory(directory)
    , m_options(std::move(options))
    , m_rowWriter(io, store, m_options.table, m_options.key)
    , m_firstHeartbeatTimer(io)
{
}

auto HostRegistration::receive(const Heartbeat& heartbeat, const Acknowledge& acknowledge, Error& reason) -> bool
{
    const auto result = m_target.receive(heartbeat, reason);
    if (result == LocalTarget::HeartbeatResult::Rejected)
        return false;
    const bool isChanged = result == LocalTarget::HeartbeatResult::Changed;
    if (isChanged) {
        logTargetChange();
        m_targetChangedCallback();
    }
    if (result != LocalTarget::HeartbeatResult::Stale)
        m_heartbeatCallback();
    if (!m_target.isServing()) {
        acknowledgeWhenStored(acknowledge);
        return true;
    }
    if (isChanged)
        writeRow(nullptr);
    acknowledge(true);
    return true;
}

auto HostRegistration::receive(const Deregistration& deregistration, const Acknowledge& acknowledge) -> void
{
    switch (m_target.deregister(deregistration.id, deregistration.startedAt)) {
    case LocalTarget::DeregistrationResult::OtherTarget:
        acknowledge(true);
        return;
    case LocalTarget::DeregistrationResult::UnknownOrder:
        acknowledge(false);
        return;
    case LocalTarget::DeregistrationResult::NoHeartbeatYet:
        break;
    case LocalTarget::DeregistrationResult::CurrentTarget:
        logTargetChange();
        m_targetChangedCallback();
        break;
    }
    acknowledgeWhenStored(acknowledge);
}

// Acknowledges a drain once the store has confirmed the row. In the meantime the target already gets no new requests,
// because all of its requests pass through this daemon.
auto HostRegistration::acknowledgeWhenStored(const Acknowledge& acknowledge) -> void
{
    const auto timer = std::make_shared<boost::asio::steady_timer>(m_io, m_options.acknowledgementTimeout);
    timer->async_wait([this, acknowledge, timer](const boost::system::error_code& error) {
        if (error)
            return;
        log::logEvent(drainNotStored,
            { { "host", m_options.key }, { "waited-ms", std::to_string(m_options.acknowledgementTimeout.count()) },
                { "knows-hosts", m_areHostsLoaded ? "yes" : "no" } });
        acknowledge(false);
    });
    writeRow([acknowledge, timer] {
        // cancel() returns 0 if the timer has expired; the target has then been asked to repeat its message.
        if (timer->cancel() > 0)
            acknowledge(true);
    });
}

auto HostRegistration::onHostsLoaded() -> void
{
    m_areHostsLoaded = true;
    // A copy, since the directory may change in the calls below.
    const auto stored = storedRecord();
    m_rowWriter.setStoredVersion(m_directory.version(m_options.key));
    if (stored)
        m_target.restoreFromStore(stored->targetId, stored->targetStartedAt, isDrainStored(*stored));
    m_targetChangedCallback();
    if (stored && m_directory.version(m_options.key) == 0)
        m_rowWriter.update(*stored, [this] { removeFormerRow(); });
    if (m_target.current() || !isDeregistrationStored(stored)) {
        writeRow(nullptr);
        return;
    }
    if (stored && stored->state != HostRecord::State::Departed)
        return;
    // The row of a new host, or of one that departed, waits for the first heartbeat, which is due soon: each change of
    // a row is sent to all hosts, so one change is cheaper than two.
    m_firstHeartbeatTimer.expires_after(m_options.firstHeartbeatTimeout);
    m_firstHeartbeatTimer.async_wait([this](const boost::system::error_code& error) {
        if (!error && !m_target.current())
            writeRow(nullptr);
    });
}

auto HostRegistration::storedRecord() const -> std::optional<HostRecord>
{
    const auto* stored = m_directory.find(m_options.key);
    if (!stored)
        stored = m_directory.findDeparted(m_options.key);
    if (!stored && !m_options.formerKey.empty())
        stored = m_directory.find(m_options.formerKey);
    return stored ? std::optional(*stored) : std::nullopt;
}

auto HostRegistration::removeFormerRow() -> void
{
    m_store.write({ m_options.table, m_options.formerKey, m_directory.version(m_options.formerKey), std::nullopt },
        [](const StoreClient::Result&) {
            // If the store didn't remove it, the row has the state of this moment until the next start.
        });
}

// The row needs no update if it belongs to a later target than the one that deregistered.
auto HostRegistration::isDeregistrationStored(const std::optional<HostRecord>& stored) const -> bool
{
    const auto deregistered = m_target.deregistered();
    if (!deregistered || !stored)
        return !deregistered;
    const bool isSame = stored->targetId == deregistered->id && stored->targetStartedAt == deregistered->startedAt;
    return isSame ? isDrainStored(*stored) : deregistered->startedAt < stored->targetStartedAt;
}

auto HostRegistration::onHostsChanged() -> void
{
    if (m_mustCompareRow)
        compareWithRestoredRow();
    else if (!m_directory.find(m_options.key))
        m_rowWriter.onRowRemoved();
    takeOverDrain();
}

auto HostRegistration::onStoreRestored() -> void
{
    if (!m_areHostsLoaded)
        return;
    m_rowWriter.onStoreRestored();
    m_mustCompareRow = true;
    if (m_target.current() ? !m_target.isServing() : m_target.deregistered().has_value())
        writeRowAgain();
}

auto HostRegistration::compareWithRestoredRow() -> void
{
    m_mustCompareRow = false;
    const auto stored = storedRecord();
    const auto version = m_directory.version(m_options.key);
    const bool isKnown = stored && version > 0 && !m_directory.hostsWithLostDrain().contains(m_options.key);
    m_rowWriter.setStoredRow(version, isKnown ? std::optional(encodeHostRecord(*stored)) : std::nullopt);
    // Without a target and a record, the row is written with the target's first heartbeat.
    const bool isDue = m_target.current() || m_target.deregistered() || m_rowWriter.hasRecord();
    if (isDue && !m_rowWriter.isWriting() && !m_rowWriter.isStored(makeRecord()))
        writeRowAgain();
}

auto HostRegistration::writeRowAgain() -> void
{
    ++m_rowsWrittenAgain;
    log::logEvent(
        rowWrittenAgain, { { "host", m_options.key }, { "state", m_target.isServing() ? "serving" : "not serving" } });
    writeRow(nullptr);
}

// After the store lost the drain, a daemon of this host may have been started that doesn't know of it.
auto HostRegistration::takeOverDrain() -> void
{
    const auto* stored = m_directory.find(m_options.key);
    if (!stored || !isDrainStored(*stored))
        return;
    const auto& current = m_target.current();
    const bool isServingTarget
        = m_target.isServing() && stored->targetId == current->id && stored->targetStartedAt == current->startedAt;
    if (current && !isServingTarget)
        return;
    // Without a heartbeat yet, a late one must not bring the target back.
    m_target.restoreFromStore(stored->targetId, stored->targetStartedAt, true);
    if (!current)
        return;
    logTargetChange();
    m_targetChangedCallback();
    writeRow(nullptr);
}

auto HostRegistration::beginStop() -> void
{
    m_isStopping = true;
    if (m_target.current() ? !m_target.isServing() : m_target.deregistered().has_value())
        writeRow(nullptr);
}

auto HostRegistration::makeRecord() -> HostRecord
{
    auto record = m_options.host;
    // The join time stays the same across daemon restarts and removals of the row. A host that departed joins anew,
    // since the other hosts have passed its share of the rate limits on.
    if (const auto stored = storedRecord(); stored && stored->state != HostRecord::State::Departed && !m_joinedAt)
        m_joinedAt = stored->joinedAt;
    if (!m_joinedAt)
        m_joinedAt = m_storeClock();
    record.joinedAt = m_joinedAt.value_or(milliseconds { 0 });
    if (const auto& current = m_target.current()) {
        record.targetId = current->id;
        record.targetStartedAt = current->startedAt;
        record.slots = current->slots;
        record.state = current->isDraining ? HostRecord::State::Draining : HostRecord::State::Serving;
    } else if (const auto deregistered = m_target.deregistered()) {
        record.targetId = deregistered->id;
        record.targetStartedAt = deregistered->startedAt;
        record.state = HostRecord::State::Draining;
    }
    if (m_isStopping && !m_departedAt)
        m_departedAt = m_storeClock();
    return m_departedAt && record.state == HostRecord::State::Draining ? makeDeparted(record, *m_departedAt) : record;
}

auto HostRegistration::writeRow(HostRowWriter::StoredCallback stored) -> void
{
    if (m_areHostsLoaded)
        m_rowWriter.update(makeRecord(), std::move(stored));
}

auto HostRegistration::logTargetChange() const -> void
{
    const auto& current = *m_target.current();
    log::logEvent(targetChanged,
        { { "target", current.id }, { "started-at", std::to_string(current.startedAt) },
            { "slots", std::to_string(current.slots) }, { "sequence", std::to_string(current.sequence) },
            { "state", current.isDraining ? "leaving" : "serving" } });
}

auto HostRegistration::stop() -> void { m_rowWriter.stop(); }

} // namespace coriandergate::fleet
