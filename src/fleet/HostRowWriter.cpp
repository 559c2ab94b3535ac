#include "fleet/HostRowWriter.h"

#include <algorithm>

namespace coriandergate::fleet {

HostRowWriter::HostRowWriter(boost::asio::io_context& io, StoreClient& feed, std::string table, std::string key)
    : m_feed(feed)
    , m_table(std::move(table))
    , m_key(std::move(key))
    , m_timer(io)
{
}

auto HostRowWriter::recordStanding(std::uint64_t version) -> void
{
    if (!m_hasConfirmed && !m_isWriting)
        m_version = version;
}

auto HostRowWriter::announce(const HostRecord& record, Stored stored) -> void
{
    set(encodeHostRecord(record), std::move(stored));
}

auto HostRowWriter::retract(Stored stored) -> void { set(std::nullopt, std::move(stored)); }

auto HostRowWriter::set(std::optional<std::string> wanted, Stored stored) -> void
{
    m_wanted = std::move(wanted);
    if (stored)
        m_waiting.push_back(std::move(stored));
    if (isStored())
        confirm();
    else
        write();
}

auto HostRowWriter::write() -> void
{
    if (m_isWriting)
        return;
    m_isWriting = true;
    m_feed.write({ m_table, m_key, m_version, m_wanted },
        [this, alive = m_isAlive, written = m_wanted](StoreClient::Result result) {
            if (*alive)
                onWritten(written, std::move(result));
        });
}

auto HostRowWriter::onWritten(const std::optional<std::string>& written, StoreClient::Result result) -> void
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
        m_version = written ? std::get<StoreResponse>(result).newestVersion : 0;
        m_confirmed = written;
        m_hasConfirmed = true;
    }
    if (isStored())
        confirm();
    else
        write();
}

// The row had another version than expected.
auto HostRowWriter::takeStanding(const std::vector<StoreRow>& rows) -> void
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

auto HostRowWriter::recordRemoval() -> void
{
    if (!m_wanted || !isStored())
        return;
    m_hasConfirmed = false;
    m_version = 0;
    write();
}

auto HostRowWriter::confirm() -> void
{
    const auto waiting = std::move(m_waiting);
    m_waiting.clear();
    for (const auto& stored : waiting)
        stored();
}

auto HostRowWriter::retry() -> void
{
    m_timer.expires_after(m_retry);
    m_retry = std::min(2 * m_retry, s_longestRetry);
    m_timer.async_wait([this, alive = m_isAlive](const boost::system::error_code& error) {
        // Another message of the target may have led to a write meanwhile.
        if (!error && *alive && !isStored())
            write();
    });
}

auto HostRowWriter::stop() -> void
{
    *m_isAlive = false;
    m_timer.cancel();
}

} // namespace coriandergate::fleet
