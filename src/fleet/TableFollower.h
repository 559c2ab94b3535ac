// Follows one table of the store: reads it once, then waits for its changes, and reads it anew when it missed some.
//
//   TableFollower follower(io, feed, { .table = "hosts", .wait = 4s });
//   follower.onRows([](const std::vector<StoreRow>& rows, bool isWhole) { ... });
//   follower.onAnswer([&](const StoreResponse& answer) { proof.recordAnswer(...); });
//   follower.start();
#pragma once

#include "fleet/StoreClient.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <random>

namespace coriandergate::fleet {

// TableFollower is used on the thread of its io_context.
class TableFollower {
public:
    struct Options {
        std::string table;
        std::chrono::milliseconds wait { 2000 }; // of one long poll
        std::chrono::milliseconds settle { 120 }; // after a change, so that several make one call
        std::chrono::milliseconds longestSettle { 120 }; // it doubles up to this while changes follow each other
        std::chrono::milliseconds firstRetry { 100 };
        std::chrono::milliseconds longestRetry { 700 };
    };
    // RowsChanged gets changed rows, or, with `isWhole`, all rows that there are.
    using RowsChanged = std::function<void(const std::vector<StoreRow>& rows, bool isWhole)>;
    using Answered = std::function<void(const StoreResponse& answer)>;
    using Failed = std::function<void(const Error& error)>;

    TableFollower(boost::asio::io_context& io, StoreClient& feed, const Options& options);

    auto onRows(RowsChanged callback) -> void { m_rowsChanged = std::move(callback); }
    auto onAnswer(Answered callback) -> void { m_answered = std::move(callback); }
    auto onFailure(Failed callback) -> void { m_failed = std::move(callback); }

    auto start() -> void;

    // catchUp() asks once for what changed since the last answer, beside a long poll that may have lost its way.
    auto catchUp() -> void;

    // after() is the version up to which every change has been told.
    [[nodiscard]] auto after() const -> std::uint64_t { return m_after; }

    // skipTo() says that nothing of this table changed up to `version`.
    auto skipTo(std::uint64_t version) -> void { m_after = std::max(m_after, version); }

    // stop() ends the following; no callback is called any more.
    auto stop() -> void;

private:
    auto read() -> void;
    auto follow() -> void;
    auto onCaughtUp(StoreClient::Result result) -> void;
    auto onReadDone(StoreClient::Result result) -> void;
    auto onFollowDone(StoreClient::Result result) -> void;
    auto take(const StoreResponse& answer, bool isWhole) -> void;
    auto retry(const StoreFailure& failure) -> void;
    auto later(std::chrono::milliseconds delay) -> void;

    StoreClient& m_feed;
    Options m_options;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
    RowsChanged m_rowsChanged;
    Answered m_answered;
    Failed m_failed;
    std::uint64_t m_after = 0;
    std::chrono::milliseconds m_retry { 0 };
    std::chrono::milliseconds m_settle { 0 }; // after the last change; 0 when the last answer had none
    bool m_hasRead = false;
    bool m_isCatchingUp = false;
    bool m_needsQuickAnswer = true; // the first answer after a failure shouldn't wait for a change
    std::minstd_rand m_random { std::random_device {}() };
};

} // namespace coriandergate::fleet
