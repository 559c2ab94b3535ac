// Writes this host's row to the store and retries until the store confirms it.
//
// Each write is conditional on the version that it replaces, so a delayed write can't overwrite a newer one. Lost
// responses and rejected writes are retried.
//
//   HostRowWriter writer(io, store, "hosts", "10.1.0.11");
//   writer.update(record, [] { acknowledgeTarget(); });
#pragma once

#include "fleet/HostRecord.h"
#include "fleet/StoreClient.h"

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <vector>

namespace coriandergate::fleet {

// HostRowWriter is used on the thread of its io_context.
class HostRowWriter {
public:
    using StoredCallback = std::function<void()>;

    // Delay before a failed write is retried. It doubles from the initial to the maximum value. A row that is missing
    // when the store becomes available again must be written within two seconds.
    static constexpr std::chrono::milliseconds s_initialRetryDelay { 250 };
    static constexpr std::chrono::milliseconds s_maximumRetryDelay { 1500 };

    HostRowWriter(boost::asio::io_context& io, StoreClient& store, std::string table, std::string key);

    // setStoredVersion() sets the version of the row that an earlier daemon of this host wrote; 0 if there is none. It
    // has no effect once a write is under way or confirmed.
    auto setStoredVersion(std::uint64_t version) -> void;

    // update() writes `record` unless the store already has it, and calls `stored` once it does.
    auto update(const HostRecord& record, StoredCallback stored) -> void;

    // onStoreRestored() takes back the confirmation of the row, and that of a write under way, which may have been
    // lost.
    auto onStoreRestored() -> void;

    // setStoredRow() sets the row that the restored store has, if its value is known, so that the same record isn't
    // written again. It has no effect while a write is under way or once one is confirmed.
    auto setStoredRow(std::uint64_t version, const std::optional<std::string>& value) -> void;

    // onRowRemoved() writes the row again after another host removed it.
    auto onRowRemoved() -> void;

    // isStored() tells whether the store has confirmed the last update, or `record`.
    [[nodiscard]] auto isStored() const -> bool { return m_hasConfirmed && m_confirmed == m_desired; }

    [[nodiscard]] auto isStored(const HostRecord& record) const -> bool;
    // hasRecord() tells whether update() was called; isWriting() tells whether a write is under way.
    [[nodiscard]] auto hasRecord() const -> bool { return m_desired.has_value(); }
    [[nodiscard]] auto isWriting() const -> bool { return m_isWriting; }

    auto stop() -> void;

private:
    auto write() -> void;
    auto onWriteDone(const std::optional<std::string>& written, StoreClient::Result result) -> void;
    auto adoptStoredRow(const std::vector<StoreRow>& rows) -> void;
    auto notifyStored() -> void;
    auto scheduleRetry() -> void;

    StoreClient& m_store;
    std::string m_table;
    std::string m_key;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
    std::optional<std::string> m_desired; // nothing before the first update
    std::optional<std::string> m_confirmed;
    std::vector<StoredCallback> m_storedCallbacks;
    std::uint64_t m_version = 0; // last known version of the row, 0 for none
    std::chrono::milliseconds m_retryDelay { s_initialRetryDelay };
    bool m_hasConfirmed = false;
    bool m_isWriting = false;
};

} // namespace coriandergate::fleet
