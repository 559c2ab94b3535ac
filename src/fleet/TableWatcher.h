// Watches one table of the store: reads it once, then long-polls for changes, and reads it again if it missed some.
//
//   TableWatcher watcher(scheduler, store, { .table = "hosts", .pollTime = 4s });
//   watcher.onRows([](const std::vector<StoreRow>& rows, bool isSnapshot) { ... });
//   watcher.onResponse([&](const StoreResponse& response) { proof.recordResponse(...); });
//   watcher.start();
#pragma once

#include "base/Scheduler.h"
#include "fleet/StoreClient.h"

#include <algorithm>
#include <memory>
#include <random>

namespace coriandergate::fleet {

// TableWatcher is used on the thread of its scheduler.
class TableWatcher {
public:
    struct Options {
        std::string table;
        std::chrono::milliseconds pollTime { 2000 }; // of one long poll without a change
        std::chrono::milliseconds changeDelay { 120 }; // pause after a change, to batch several changes
        std::chrono::milliseconds maximumChangeDelay { 120 }; // the pause doubles up to this while changes continue
        std::chrono::milliseconds initialRetryDelay { 100 };
        std::chrono::milliseconds maximumRetryDelay { 700 };
        std::uint32_t randomSeed = std::random_device {}(); // of the retry delays
    };
    // RowsCallback receives the changed rows, or, with `isSnapshot`, all rows of the table.
    using RowsCallback = std::function<void(const std::vector<StoreRow>& rows, bool isSnapshot)>;
    using ResponseCallback = std::function<void(const StoreResponse& response)>;
    using FailureCallback = std::function<void(const Error& error)>;

    TableWatcher(Scheduler& scheduler, StoreClient& store, const Options& options);
    ~TableWatcher();
    TableWatcher(const TableWatcher&) = delete;
    auto operator=(const TableWatcher&) -> TableWatcher& = delete;

    auto onRows(RowsCallback callback) -> void { m_rowsCallback = std::move(callback); }
    auto onResponse(ResponseCallback callback) -> void { m_responseCallback = std::move(callback); }
    auto onFailure(FailureCallback callback) -> void { m_failureCallback = std::move(callback); }

    auto start() -> void;

    // catchUp() requests the changes since the last response once, in addition to a long poll that may be stuck.
    auto catchUp() -> void;

    // observedVersion() is the version up to which all changes of the table are known.
    [[nodiscard]] auto observedVersion() const -> std::uint64_t { return m_observedVersion; }

    // advanceTo() records that this table didn't change up to `version`.
    auto advanceTo(std::uint64_t version) -> void { m_observedVersion = std::max(m_observedVersion, version); }

    // stop() stops watching; no callback is called afterwards.
    auto stop() -> void;

private:
    auto read() -> void;
    auto watch() -> void;
    auto onCatchUpDone(StoreClient::Result result) -> void;
    auto onReadDone(StoreClient::Result result) -> void;
    auto onWatchDone(StoreClient::Result result) -> void;
    auto applyResponse(const StoreResponse& response, bool isSnapshot) -> void;
    auto scheduleRetry(const StoreFailure& failure) -> void;
    auto scheduleNext(std::chrono::milliseconds delay) -> void;

    Scheduler& m_scheduler;
    StoreClient& m_store;
    Options m_options;
    Scheduler::Timer m_timer = 0;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
    RowsCallback m_rowsCallback;
    ResponseCallback m_responseCallback;
    FailureCallback m_failureCallback;
    std::uint64_t m_observedVersion = 0;
    std::chrono::milliseconds m_retryDelay { 0 };
    std::chrono::milliseconds m_changeDelay { 0 }; // current pause after a change; 0 if the last response had no change
    bool m_hasSnapshot = false;
    bool m_isCatchingUp = false;
    bool m_needsImmediateResponse = true; // the first request after a failure doesn't wait for a change
    std::minstd_rand m_random;
};

} // namespace coriandergate::fleet
