#include "fleet/HostRowWriter.h"

#include <algorithm>

namespace coriandergate::fleet {

HostRowWriter::HostRowWriter(boost::asio::io_context& io, StoreClient& store, std::string table, std::string key)
    : m_store(store)
    , m_table(std::move(table))
    , m_key(std::move(key))
    , m_timer(io)
{
}

auto HostRowWriter::setStoredVersion(std::uint64_t version) -> void
{
    if (!m_hasConfirmed && !m_isWriting)
        m_version = version;
}

auto HostRowWriter::update(const HostRecord& record, StoredCallback stored) -> void
{
    m_desired = encodeHostRecord(record);
    if (stored)
        m_storedCallbacks.push_back(std::move(stored));
    if (isStored())
        notifyStored();
    else
        write();
}

auto HostRowWriter::write() -> void
{
    if (m_isWriting)
        return;
    m_isWriting = true;
    m_store.write({ m_table, m_key, m_version, m_desired },
        [this, alive = m_isAlive, written = m_desired](StoreClient::Result result) {
            if (*alive)
                onWriteDone(written, std::move(result));
        });
}

auto HostRowWriter::onWriteDone(const std::optional<std::string>& written, StoreClient::Result result) -> void
{
    m_isWriting = false;
    const auto* failure = std::get_if<StoreFailure>(&result);
    if (failure && failure->kind != StoreFailure::Kind::ConditionFailed) {
        scheduleRetry();
        return;
    }
    m_retryDelay = s_initialRetryDelay;
    if (failure) {
        adoptStoredRow(failure->current);
    } else {
        m_version = std::get<StoreResponse>(result).newestVersion;
        m_confirmed = written;
        m_hasConfirmed = true;
    }
    if (isStored())
        notifyStored();
    else
        write();
}

// Adopts the row that caused a version conflict.
auto HostRowWriter::adoptStoredRow(const std::vector<StoreRow>& rows) -> void
{
    m_version = 0;
    std::optional<std::string> storedValue;
    for (const auto& row : rows) {
        if (row.key == m_key && !row.isRemoved) {
            m_version = row.version;
            storedValue = row.value;
        }
    }
    // An earlier write took effect although its response was lost.
    if (storedValue == m_desired) {
        m_confirmed = storedValue;
        m_hasConfirmed = true;
    }
}

auto HostRowWriter::onStoreRestored() -> void
{
    m_hasConfirmed = false;
    m_version = 0; // of the earlier era; the store tells the version of its row when it rejects a write
}

auto HostRowWriter::setStoredRow(std::uint64_t version, const std::optional<std::string>& value) -> void
{
    if (m_hasConfirmed || m_isWriting)
        return;
    m_version = version;
    m_confirmed = value;
    m_hasConfirmed = value.has_value();
}

auto HostRowWriter::isStored(const HostRecord& record) const -> bool
{
    return m_hasConfirmed && m_confirmed == encodeHostRecord(record);
}

auto HostRowWriter::onRowRemoved() -> void
{
    if (!m_desired || !isStored())
        return;
    m_hasConfirmed = false;
    m_version = 0;
    write();
}

auto HostRowWriter::notifyStored() -> void
{
    const auto callbacks = std::move(m_storedCallbacks);
    m_storedCallbacks.clear();
    for (const auto& stored : callbacks)
        stored();
}

auto HostRowWriter::scheduleRetry() -> void
{
    m_timer.expires_after(m_retryDelay);
    m_retryDelay = std::min(2 * m_retryDelay, s_maximumRetryDelay);
    m_timer.async_wait([this, alive = m_isAlive](const boost::system::error_code& error) {
        // Another message of the target may have triggered a write in the meantime.
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
