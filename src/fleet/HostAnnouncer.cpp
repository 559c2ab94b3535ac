#include "fleet/HostAnnouncer.h"

#include <algorithm>

namespace coriandergate::fleet {

HostAnnouncer::HostAnnouncer(boost::asio::io_context& io, StoreFeed& feed, std::string table, std::string key)
    : m_feed(feed)
    , m_table(std::move(table))
    , m_key(std::move(key))
    , m_timer(io)
{
}

auto HostAnnouncer::recordStanding(std::uint64_t version) -> void
{
    if (!m_hasConfirmed && !m_isWriting)
        m_version = version;
}

auto HostAnnouncer::announce(const HostRecord& record, Stored stored) -> void
{
    set(encodeHostRecord(record), std::move(stored));
}

auto HostAnnouncer::retract(Stored stored) -> void { set(std::nullopt, std::move(stored)); }

auto HostAnnouncer::set(std::optional<std::string> wanted, Stored stored) -> void
{
    m_wanted = std::move(wanted);
    if (stored)
        m_waiting.push_back(std::move(stored));
    if (isStored())
        confirm();
    else
        write();
}

auto HostAnnouncer::write() -> void
{
    if (m_isWriting)
        return;
    m_isWriting = true;
    m_feed.write({ m_table, m_key, m_version, m_wanted },
        [this, alive = m_isAlive, written = m_wanted](StoreFeed::Result result) {
            if (*alive)
                onWritten(written, std::move(result));
        });
}

auto HostAnnouncer::onWritten(const std::optional<std::string>& written, StoreFeed::Result result) -> void
{
    m_isWriting = false;
    const auto* failure = std::get_if<StoreFailure>(&result);
    if (failure && failure->kind != StoreFailure::Kind::ConditionFailed) {
        retry();
        return;
    }
    m_retry = s_firstRetry;
    if (failure) {
        takeStanding(failure->current);
    } else {
        m_version = written ? std::get<StoreAnswer>(result).newestVersion : 0;
        m_confirmed = written;
        m_hasConfirmed = true;
    }
    if (isStored())
        confirm();
    else
        write();
}

// The row had another version than expected.
auto HostAnnouncer::takeStanding(const std::vector<StoreRow>& rows) -> void
{
    m_version = 0;
    std::optional<std::string> standing;
    for (const auto& row : rows) {
        if (row.key == m_key && !row.isRemoved) {
            m_version = row.version;
            standing = row.value;
        }
    }
    // An earlier write whose answer was lost took effect.
    if (standing == m_wanted) {
        m_confirmed = standing;
        m_hasConfirmed = true;
    }
}

auto HostAnnouncer::recordRemoval() -> void
{
    if (!m_wanted || !isStored())
        return;
    m_hasConfirmed = false;
    m_version = 0;
    write();
}

auto HostAnnouncer::confirm() -> void
{
    const auto waiting = std::move(m_waiting);
    m_waiting.clear();
    for (const auto& stored : waiting)
        stored();
}

auto HostAnnouncer::retry() -> void
{
    m_timer.expires_after(m_retry);
    m_retry = std::min(2 * m_retry, s_longestRetry);
    m_timer.async_wait([this, alive = m_isAlive](const boost::system::error_code& error) {
        // Another message of the target may have led to a write meanwhile.
        if (!error && *alive && !isStored())
            write();
    });
}

auto HostAnnouncer::stop() -> void
{
    *m_isAlive = false;
    m_timer.cancel();
}

} // namespace coriandergate::fleet
