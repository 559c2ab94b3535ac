#include "fleet/EraCheckedStore.h"

#include "fleet/StoreVersion.h"

#include <algorithm>
#include <utility>

namespace coriandergate::fleet {

namespace {

    auto makeFailure(StoreFailure::Kind kind, const std::string& step) -> StoreFailure
    {
        return { kind, { step, "store", "it was restored from an older copy" }, {} };
    }

    // A version without a number, 0, is of no era.
    auto isOfEarlierEra(std::uint64_t version, std::uint64_t era) -> bool
    {
        return numberOf(version) != 0 && eraOf(version) < era;
    }

    // The era of a failure is that of its response, 0 if there was none.
    auto eraOfResult(const StoreClient::Result& result) -> std::uint64_t
    {
        const auto* response = std::get_if<StoreResponse>(&result);
        return response ? eraOf(response->newestVersion) : std::get<StoreFailure>(result).era;
    }

} // namespace

EraCheckedStore::EraCheckedStore(Scheduler& scheduler, StoreClient& store)
    : m_scheduler(scheduler)
    , m_store(store)
{
}

EraCheckedStore::~EraCheckedStore() { *m_isAlive = false; }

auto EraCheckedStore::recordEra(std::uint64_t era) -> void
{
    const bool hasRisen = m_era && era > *m_era;
    m_era = std::max(m_era.value_or(0), era);
    if (!hasRisen)
        return;
    if (m_eraRoseCallback)
        m_eraRoseCallback();
    endWatchesOfEarlierEras();
}

auto EraCheckedStore::endWatchesOfEarlierEras() -> void
{
    for (auto it = m_pendingWatches.begin(); it != m_pendingWatches.end();) {
        if (!isOfEarlierEra(it->second.after, era())) {
            ++it;
            continue;
        }
        fail(StoreFailure::Kind::HistoryTruncated, it->second.step, std::move(it->second.done));
        it = m_pendingWatches.erase(it);
    }
}

auto EraCheckedStore::check(Result result, const std::string& step, StoreFailure::Kind kind) -> Result
{
    const auto era = eraOfResult(result);
    const bool isResponse = std::holds_alternative<StoreResponse>(result);
    if (isResponse || era > 0)
        recordEra(era);
    const bool isConflict = !isResponse && std::get<StoreFailure>(result).kind == StoreFailure::Kind::ConditionFailed;
    if ((isResponse || isConflict) && era < this->era())
        return makeFailure(kind, step);
    return result;
}

auto EraCheckedStore::fail(StoreFailure::Kind kind, const std::string& step, Callback done) -> void
{
    m_scheduler.runAfter(std::chrono::milliseconds { 0 }, [alive = m_isAlive, kind, step, done = std::move(done)] {
        if (*alive)
            done(makeFailure(kind, step));
    });
}

auto EraCheckedStore::read(const std::string& table, Callback done) -> void
{
    m_store.read(table, [this, alive = m_isAlive, table, done = std::move(done)](Result result) {
        if (*alive)
            done(check(std::move(result), "read " + table, StoreFailure::Kind::NotApplied));
    });
}

auto EraCheckedStore::readRange(const RangeRequest& range, Callback done) -> void
{
    m_store.readRange(range, [this, alive = m_isAlive, table = range.table, done = std::move(done)](Result result) {
        if (*alive)
            done(check(std::move(result), "read range of " + table, StoreFailure::Kind::NotApplied));
    });
}

auto EraCheckedStore::watch(const WatchRequest& watch, Callback done) -> void
{
    const auto step = "watch " + watch.table;
    if (isOfEarlierEra(watch.after, era())) {
        fail(StoreFailure::Kind::HistoryTruncated, step, std::move(done));
        return;
    }
    const auto id = m_nextWatch++;
    m_pendingWatches[id] = { watch.after, step, std::move(done) };
    m_store.watch(watch, [this, alive = m_isAlive, id](Result result) {
        if (*alive)
            onWatchResult(id, std::move(result));
    });
}

auto EraCheckedStore::onWatchResult(WatchId id, Result result) -> void
{
    const auto found = m_pendingWatches.find(id);
    if (found == m_pendingWatches.end()) { // it failed when a later era became known
        recordEra(std::max(era(), eraOfResult(result)));
        return;
    }
    const auto [after, step, done] = std::move(found->second);
    m_pendingWatches.erase(found);
    auto checked = check(std::move(result), step, StoreFailure::Kind::HistoryTruncated);
    if (std::holds_alternative<StoreResponse>(checked) && isOfEarlierEra(after, era()))
        checked = makeFailure(StoreFailure::Kind::HistoryTruncated, step);
    done(std::move(checked));
}

auto EraCheckedStore::write(const WriteRequest& write, Callback done) -> void
{
    const auto step = "write " + write.table + "/" + write.key;
    if (isOfEarlierEra(write.expectedVersion, era())) {
        fail(StoreFailure::Kind::NotApplied, step, std::move(done));
        return;
    }
    // What was written in an earlier era may be lost.
    m_store.write(write, [this, alive = m_isAlive, step, done = std::move(done)](Result result) {
        if (*alive)
            done(check(std::move(result), step, StoreFailure::Kind::Unknown));
    });
}

} // namespace coriandergate::fleet
