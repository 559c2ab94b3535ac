// Keeps this host's row in the store as it should be, through lost answers, refusals and late writes.
//
// Every write names the version that it replaces, so one that takes effect late can't undo a newer one.
//
//   HostRowWriter announcer(io, feed, "hosts", "10.1.0.11");
//   announcer.announce(record, [] { acknowledgeTarget(); });
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
    using Stored = std::function<void()>;

    // Waits between writes that failed; they double from the first to the longest one. A row that is missing after the
    // store's return must be back within two seconds.
    static constexpr std::chrono::milliseconds s_firstRetry { 250 };
    static constexpr std::chrono::milliseconds s_longestRetry { 1500 };

    HostRowWriter(boost::asio::io_context& io, StoreClient& feed, std::string table, std::string key);

    // recordStanding() tells the version of the row that an earlier daemon of this host left; 0 if there is none.
    auto recordStanding(std::uint64_t version) -> void;

    // announce() writes `record` unless it stands there already, and calls `stored` once it does.
    auto announce(const HostRecord& record, Stored stored) -> void;

    // retract() removes the row and calls `stored` once it is gone.
    auto retract(Stored stored) -> void;

    // recordRemoval() says that another host took the row away; it is written again.
    auto recordRemoval() -> void;

    // isStored() says that the store has confirmed what was announced last.
    [[nodiscard]] auto isStored() const -> bool { return m_hasConfirmed && m_confirmed == m_wanted; }

    auto stop() -> void;

private:
    auto set(std::optional<std::string> wanted, Stored stored) -> void;
    auto write() -> void;
    auto onWritten(const std::optional<std::string>& written, StoreClient::Result result) -> void;
    auto takeStanding(const std::vector<StoreRow>& rows) -> void;
    auto confirm() -> void;
    auto retry() -> void;

    StoreClient& m_feed;
    std::string m_table;
    std::string m_key;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
    std::optional<std::string> m_wanted; // nothing: no row
    std::optional<std::string> m_confirmed;
    std::vector<Stored> m_waiting;
    std::uint64_t m_version = 0; // of the row, as far as known
    std::chrono::milliseconds m_retry { s_firstRetry };
    bool m_hasConfirmed = false;
    bool m_isWriting = false;
};

} // namespace coriandergate::fleet
