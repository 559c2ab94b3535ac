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
        "the target of this host and whether it leaves" };
    const log::Event notKept { 1936, log::Severity::Warning, "leaving not confirmed",
        "the store hasn't answered; the target gets no new work here and is asked to tell again" };

} // namespace

HostRegistration::HostRegistration(boost::asio::io_context& io, StoreClient& feed, LocalTarget& target,
    const HostDirectory& directory, Options options)
    : m_io(io)
    , m_target(target)
    , m_directory(directory)
    , m_options(std::move(options))
    , m_announcer(io, feed, m_options.table, m_options.key)
    , m_firstHeartbeatTimer(io)
{
}

auto HostRegistration::receive(const Heartbeat& heartbeat, const Answered& answered, Error& reason) -> bool
{
    const auto receipt = m_target.receive(heartbeat, reason);
    if (receipt == LocalTarget::HeartbeatResult::Foreign)
        return false;
    const bool isChanged = receipt == LocalTarget::HeartbeatResult::Changed;
    if (isChanged) {
        logTarget();
        m_targetChanged();
    }
    if (!m_target.isServing()) {
        answerWhenStored(answered);
        return true;
    }
    if (isChanged)
        announce(nullptr);
    answered(true);
    return true;
}

auto HostRegistration::receive(const Deregistration& farewell, const Answered& answered) -> void
{
    switch (m_target.leave(farewell.id, farewell.startedAt)) {
    case LocalTarget::Departure::Other:
        answered(true);
        return;
    case LocalTarget::Departure::NotSeen:
        break;
    case LocalTarget::Departure::Current:
        logTarget();
        m_targetChanged();
        break;
    }
    answerWhenStored(answered);
}

// From here on nothing new is sent to the target by this daemon, which alone can reach it.
auto HostRegistration::answerWhenStored(const Answered& answered) -> void
{
    const auto timer = std::make_shared<boost::asio::steady_timer>(m_io, m_options.longestConfirmation);
    timer->async_wait([this, answered, timer](const boost::system::error_code& error) {
        if (error)
            return;
        log::logEvent(notKept,
            { { "host", m_options.key }, { "waited-ms", std::to_string(m_options.longestConfirmation.count()) },
                { "knows-hosts", m_knowsHosts ? "yes" : "no" } });
        answered(false);
    });
    announce([answered, timer] {
        // No timer left to cancel: the target has been answered.
        if (timer->cancel() > 0)
            answered(true);
    });
}

auto HostRegistration::onHostsKnown() -> void
{
    m_knowsHosts = true;
    const auto* earlier = m_directory.find(m_options.key);
    m_announcer.recordStanding(m_directory.version(m_options.key));
    if (earlier)
        m_target.recall(earlier->targetId, earlier->targetStartedAt, earlier->state == HostRecord::State::Leaving);
    m_targetChanged();
    if (m_target.current() || !isLeftTold(earlier)) {
        announce(nullptr);
        return;
    }
    // The first heartbeat comes soon, and one change of the row costs every host less than two.
    if (earlier)
        return;
    m_firstHeartbeatTimer.expires_after(m_options.firstHeartbeatTime);
    m_firstHeartbeatTimer.async_wait([this](const boost::system::error_code& error) {
        if (!error && !m_target.current())
            announce(nullptr);
    });
}

// What the row says stands, if it is of a later target than the one that said farewell.
auto HostRegistration::isLeftTold(const HostRecord* row) const -> bool
{
    const auto& left = m_target.left();
    if (!left || !row)
        return !left;
    if (row->targetId == left->id)
        return row->state == HostRecord::State::Leaving;
    return left->startedAt < row->targetStartedAt;
}

auto HostRegistration::onHostsChanged() -> void
{
    if (!m_directory.find(m_options.key))
        m_announcer.recordRemoval();
}

auto HostRegistration::retractIfLeft() -> void
{
    if (m_target.current() ? !m_target.isServing() : m_target.left().has_value())
        m_announcer.retract(nullptr);
}

auto HostRegistration::record() -> HostRecord
{
    auto record = m_options.host;
    // A daemon that is started again, or whose row was taken away, is the host that the fleet knew.
    if (const auto* known = m_directory.find(m_options.key); known && !m_joinedAt)
        m_joinedAt = known->joinedAt;
    if (!m_joinedAt)
        m_joinedAt = m_storeTime();
    record.joinedAt = m_joinedAt.value_or(milliseconds { 0 });
    if (const auto& current = m_target.current()) {
        record.targetId = current->id;
        record.targetStartedAt = current->startedAt;
        record.slots = current->slots;
        record.state = current->isDraining ? HostRecord::State::Leaving : HostRecord::State::Serving;
    } else if (const auto& left = m_target.left()) {
        record.targetId = left->id;
        record.targetStartedAt = left->startedAt;
        record.state = HostRecord::State::Leaving;
    }
    return record;
}

auto HostRegistration::announce(HostRowWriter::Stored stored) -> void
{
    if (m_knowsHosts)
        m_announcer.announce(record(), std::move(stored));
}

auto HostRegistration::logTarget() const -> void
{
    const auto& current = *m_target.current();
    log::logEvent(targetChanged,
        { { "target", current.id }, { "started-at", std::to_string(current.startedAt) },
            { "slots", std::to_string(current.slots) }, { "sequence", std::to_string(current.sequence) },
            { "state", current.isDraining ? "leaving" : "serving" } });
}

auto HostRegistration::stop() -> void { m_announcer.stop(); }

} // namespace coriandergate::fleet
