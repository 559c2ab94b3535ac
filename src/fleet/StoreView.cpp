#include "fleet/StoreView.h"

#include "fleet/CatchUp.h"
#include "fleet/VersionProof.h"

namespace coriandergate::fleet {

using std::chrono::milliseconds;

namespace {

    // Long poll for the configuration: half of the time for which a withdrawn API key may still work.
    constexpr milliseconds operatorPollTime { 2600 };
    // Long poll for the hosts. It may be long, because a change ends it.
    constexpr milliseconds hostsPollTime { 15000 };
    // Delays that batch changes of host rows. Several rows often change together, and when many hosts start or stop,
    // rows change for several seconds.
    constexpr milliseconds hostsChangeDelay { 300 };
    constexpr milliseconds maximumHostsChangeDelay { 600 };

    auto recordResponse(dispatch::StalenessTracker& freshness, const StoreResponse& response) -> void
    {
        if (response.isRelayed)
            freshness.recordRelayed(response.receivedAt, response.storeTime);
        else
            freshness.recordResponse(response.sentAt, response.receivedAt, response.storeTime);
    }

} // namespace

StoreView::StoreView(Scheduler& scheduler, StoreClient& store, RelayTransport& transport, const Options& options)
    : m_scheduler(scheduler)
    , m_options(options)
    , m_client(scheduler, store, transport,
          { .hostKey = options.hostKey,
              .region = options.locality.region,
              .hostTable = options.hostTable,
              .isFirstStart = options.isFirstStart,
              .freshnessTable = options.operatorTable,
              .randomSeed = options.randomSeed })
    , m_operatorWatcher(scheduler, m_client,
          { .table = options.operatorTable, .pollTime = operatorPollTime, .randomSeed = options.randomSeed })
    , m_hostWatcher(scheduler, m_client,
          { .table = options.hostTable,
              .pollTime = hostsPollTime,
              .changeDelay = hostsChangeDelay,
              .maximumChangeDelay = maximumHostsChangeDelay,
              .randomSeed = options.randomSeed })
    , m_operatorFreshness({ .maximumAge = options.maximumAge })
    , m_hostListFreshness({ .maximumAge = options.maximumAge })
{
    // By this clock the client refuses what would not count as fresh here, and asks the store itself.
    m_client.setStoreClock([this] { return m_operatorFreshness.latestStoreTime(m_scheduler.suspendAwareNow()); });
    m_client.onClock([this](const StoreResponse& response) {
        m_operatorFreshness.recordClock(response.sentAt, response.receivedAt, response.storeTime);
        m_hostListFreshness.recordClock(response.sentAt, response.receivedAt, response.storeTime);
    });
    m_operatorWatcher.onRows([this](const std::vector<StoreRow>& rows, bool isSnapshot) {
        m_areOperatorRowsLoaded = true;
        m_operatorRowsCallback(rows, isSnapshot);
    });
    m_operatorWatcher.onResponse([this](const StoreResponse& response) { onOperatorResponse(response); });
    m_hostWatcher.onResponse([this](const StoreResponse& response) { onHostsResponse(response); });
    m_hostWatcher.onRows([this](const std::vector<StoreRow>& rows, bool isSnapshot) { onHostRows(rows, isSnapshot); });
}

auto StoreView::start() -> void
{
    m_operatorWatcher.start();
    m_hostWatcher.start();
}

auto StoreView::stop() -> void
{
    m_operatorWatcher.stop();
    m_hostWatcher.stop();
}

auto StoreView::onOperatorResponse(const StoreResponse& response) -> void
{
    recordResponse(m_operatorFreshness, response);
    if (m_responseCallback)
        m_responseCallback();
    if (!m_areHostsLoaded)
        return;
    if (provesUnchanged(m_hostWatcher.observedVersion(), response)) {
        m_hostWatcher.advanceTo(response.newestVersion);
        m_client.recordUnchanged(m_options.hostTable, response.newestVersion, response.storeTime);
        recordResponse(m_hostListFreshness, response);
        return;
    }
    if (isCatchUpDue(m_hostWatcher.observedVersion(), response.newestVersion,
            m_hostListFreshness.age(m_scheduler.suspendAwareNow())))
        m_hostWatcher.catchUp();
}

// A response on the hosts may also prove that the configuration is unchanged. After an outage of the store the response
// on the hosts comes first if hosts have changed, while requests with API keys wait for a fresh configuration.
auto StoreView::onHostsResponse(const StoreResponse& response) -> void
{
    recordResponse(m_hostListFreshness, response);
    if (!m_areOperatorRowsLoaded || !provesUnchanged(m_operatorWatcher.observedVersion(), response))
        return;
    m_operatorWatcher.advanceTo(response.newestVersion);
    m_client.recordUnchanged(m_options.operatorTable, response.newestVersion, response.storeTime);
    recordResponse(m_operatorFreshness, response);
}

auto StoreView::onHostRows(const std::vector<StoreRow>& rows, bool isSnapshot) -> void
{
    const auto faults = m_directory.apply(rows, isSnapshot);
    m_areHostsLoaded = true;
    m_client.setHosts(m_directory, m_options.locality);
    m_hostsCallback(faults);
}

} // namespace coriandergate::fleet
