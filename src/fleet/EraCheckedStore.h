// Keeps responses and conditions of different eras of the store apart, between a StoreClient and its users.
//
// After the store came back from an older copy, a response that began before tells nothing about its content, a watch
// from a version of the earlier era would miss changes, and a write on condition of such a version could replace other
// content. The first two fail, so that the table is read anew, and the third isn't sent.
//
//   EraCheckedStore store(scheduler, platformStore);
//   store.onEraRose([&] { registration.onStoreRestored(); });
//   store.watch(...); // as with any StoreClient
#pragma once

#include "base/Scheduler.h"
#include "fleet/StoreClient.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace coriandergate::fleet {

// EraCheckedStore is used on the thread of its scheduler. The scheduler and the store outlive it.
class EraCheckedStore : public StoreClient {
public:
    EraCheckedStore(Scheduler& scheduler, StoreClient& store);
    ~EraCheckedStore() override;
    EraCheckedStore(const EraCheckedStore&) = delete;
    auto operator=(const EraCheckedStore&) -> EraCheckedStore& = delete;

    // onEraRose() sets what is called, before the response that showed it is passed on, when the era rises above the
    // first known one.
    auto onEraRose(std::function<void()> callback) -> void { m_eraRoseCallback = std::move(callback); }

    // era() is the latest known era of the store, 0 before the first response.
    [[nodiscard]] auto era() const -> std::uint64_t { return m_era.value_or(0); }

    // recordEra() takes note of an era that another daemon told.
    auto recordEra(std::uint64_t era) -> void;

    auto read(const std::string& table, Callback done) -> void override;
    auto readRange(const RangeRequest& range, Callback done) -> void override;

    // watch() fails with HistoryTruncated if the store has left the era of `watch.after`, as soon as that is known: the
    // store may hold a watch from a version that it gave out again for as long as it waits.
    auto watch(const WatchRequest& watch, Callback done) -> void override;

    // write() fails with NotApplied, without a request, if the expected version is of an earlier era.
    auto write(const WriteRequest& write, Callback done) -> void override;

private:
    // PendingWatch is a watch to which the store hasn't responded.
    struct PendingWatch {
        std::uint64_t after = 0;
        std::string step;
        Callback done;
    };
    using WatchId = std::uint64_t;

    auto onWatchResult(WatchId id, Result result) -> void;
    auto endWatchesOfEarlierEras() -> void;
    auto fail(StoreFailure::Kind kind, const std::string& step, Callback done) -> void;
    // check() records the era of `result`, and returns a failure of `kind` in its place if it is of an earlier one.
    [[nodiscard]] auto check(Result result, const std::string& step, StoreFailure::Kind kind) -> Result;

    Scheduler& m_scheduler;
    StoreClient& m_store;
    std::function<void()> m_eraRoseCallback;
    std::optional<std::uint64_t> m_era; // nothing before the first response
    std::map<WatchId, PendingWatch> m_pendingWatches;
    WatchId m_nextWatch = 0;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace coriandergate::fleet
