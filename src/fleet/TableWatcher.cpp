#include "fleet/TableWatcher.h"

#include <algorithm>

namespace coriandergate::fleet {

using std::chrono::milliseconds;

TableWatcher::TableWatcher(Scheduler& scheduler, StoreClient& store, const Options& options)
    : m_scheduler(scheduler)
    , m_store(store)
    , m_options(options)
    , m_random(options.randomSeed)
{
}

TableWatcher::~TableWatcher() { stop(); }

auto TableWatcher::start() -> void { read(); }

auto TableWatcher::stop() -> void
{
    *m_isAlive = false;
    m_scheduler.cancel(m_timer);
}

auto TableWatcher::read() -> void
{
    m_store.read(m_options.table, [this, alive = m_isAlive](StoreClient::Result result) {
        if (*alive)
            onReadDone(std::move(result));
    });
}

auto TableWatcher::watch() -> void
{
    const auto wait = m_needsImmediateResponse ? milliseconds { 0 } : m_options.pollTime;
    m_store.watch({ m_options.table, m_observedVersion, wait }, [this, alive = m_isAlive](StoreClient::Result result) {
        if (*alive)
            onWatchDone(std::move(result));
    });
}

auto TableWatcher::catchUp() -> void
{
    if (!m_hasSnapshot || m_isCatchingUp)
        return;
    m_isCatchingUp = true;
    m_store.watch({ m_options.table, m_observedVersion, milliseconds { 0 } },
        [this, alive = m_isAlive](StoreClient::Result result) {
            if (!*alive)
                return;
            m_isCatchingUp = false;
            onCatchUpDone(std::move(result));
        });
}

// If the store no longer keeps the history since the last known version, the table is read again here, because a long
// poll through a relay may never report that. The long poll reports and retries all other failures.
auto TableWatcher::onCatchUpDone(StoreClient::Result result) -> void
{
    if (const auto* response = std::get_if<StoreResponse>(&result)) {
        applyResponse(*response, response->isSnapshot);
        return;
    }
    if (std::get<StoreFailure>(result).kind != StoreFailure::Kind::HistoryTruncated)
        return;
    m_isCatchingUp = true;
    m_store.read(m_options.table, [this, alive = m_isAlive](StoreClient::Result snapshot) {
        if (!*alive)
            return;
        m_isCatchingUp = false;
        if (const auto* response = std::get_if<StoreResponse>(&snapshot))
            applyResponse(*response, true);
    });
}

auto TableWatcher::onReadDone(StoreClient::Result result) -> void
{
    if (const auto* failure = std::get_if<StoreFailure>(&result)) {
        scheduleRetry(*failure);
        return;
    }
    m_hasSnapshot = true;
    applyResponse(std::get<StoreResponse>(result), true);
    scheduleNext(milliseconds { 0 });
}

auto TableWatcher::onWatchDone(StoreClient::Result result) -> void
{
    if (const auto* failure = std::get_if<StoreFailure>(&result)) {
        if (failure->kind == StoreFailure::Kind::HistoryTruncated)
            m_hasSnapshot = false;
        scheduleRetry(*failure);
        return;
    }
    const auto& response = std::get<StoreResponse>(result);
    applyResponse(response, response.isSnapshot);
    if (response.rows.empty())
        m_changeDelay = milliseconds { 0 };
    else
        m_changeDelay = m_changeDelay.count() == 0 ? m_options.changeDelay
                                                   : std::min(2 * m_changeDelay, m_options.maximumChangeDelay);
    scheduleNext(m_changeDelay);
}

auto TableWatcher::applyResponse(const StoreResponse& response, bool isSnapshot) -> void
{
    m_retryDelay = milliseconds { 0 };
    m_needsImmediateResponse = false;
    m_observedVersion = std::max(m_observedVersion, response.newestVersion);
    // The response callback runs first, because the rows callback may use a clock that the response updates.
    if (m_responseCallback)
        m_responseCallback(response);
    if (m_rowsCallback && (isSnapshot || !response.rows.empty()))
        m_rowsCallback(response.rows, isSnapshot);
}

auto TableWatcher::scheduleRetry(const StoreFailure& failure) -> void
{
    m_needsImmediateResponse = true;
    if (m_failureCallback)
        m_failureCallback(failure.error);
    m_retryDelay = m_retryDelay.count() == 0 ? m_options.initialRetryDelay
                                             : std::min(m_retryDelay * 2, m_options.maximumRetryDelay);
    // Random delays keep hosts that lost the store together from reconnecting at the same time.
    std::uniform_int_distribution<milliseconds::rep> spread(m_retryDelay.count() / 2, m_retryDelay.count());
    scheduleNext(milliseconds(spread(m_random)));
}

auto TableWatcher::scheduleNext(milliseconds delay) -> void
{
    m_scheduler.cancel(m_timer);
    m_timer = m_scheduler.runAfter(delay, [this, alive = m_isAlive] {
        if (!*alive)
            return;
        if (m_hasSnapshot)
            watch();
        else
            read();
    });
}

} // namespace coriandergate::fleet
