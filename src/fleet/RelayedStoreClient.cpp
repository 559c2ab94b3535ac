#include "fleet/RelayedStoreClient.h"

#include "base/Hash.h"
#include "fleet/HostDirectory.h"
#include "fleet/RelayWatchCodec.h"
#include "fleet/StoreVersion.h"
#include "http/Exchange.h"
#include "http/Status.h"
#include "log/Event.h"

#include <algorithm>
#include <cmath>

namespace coriandergate::fleet {

using std::chrono::milliseconds;

namespace {

    const log::Event relayFailed { 1940, log::Severity::Info, "relay of news lost",
        "the store or another relay is used instead for a few seconds; the reason, and how long this host had waited" };

    constexpr const char* storeUnreachable = "the store is unreachable";

    auto reject(const std::shared_ptr<http::Exchange>& exchange, const char* why) -> void
    {
        exchange->answer(http::makeAnswer(http::statusUnavailable, "text/plain", why));
    }

} // namespace

RelayedStoreClient::RelayedStoreClient(
    Scheduler& scheduler, StoreClient& store, RelayTransport& transport, const Options& options)
    : m_scheduler(scheduler)
    , m_store(scheduler, store)
    , m_transport(transport)
    , m_options(options)
    , m_storeBackoff(options.storeBackoff)
    , m_heldWatches(scheduler, [this](const HeldWatches::Watch& watch) { onHeldWatchTimeout(watch); })
    , m_random(options.randomSeed)
{
    if (!options.region.empty())
        m_bootstrapReader.emplace(scheduler, m_store, transport,
            BootstrapReader::Options { .hostKey = options.hostKey,
                .region = options.region,
                .hostTable = options.hostTable,
                .operatorTable = options.freshnessTable,
                .isFirstStart = options.isFirstStart,
                .maximumAge = options.maximumAge,
                .randomSeed = options.randomSeed });
    if (m_bootstrapReader) {
        m_bootstrapReader->onKnownRows(
            [this](const std::string& table, StoreResponse rows) { updateCache(table, rows, false); });
    }
}

RelayedStoreClient::~RelayedStoreClient() { *m_isAlive = false; }

auto RelayedStoreClient::setStoreClock(std::function<std::optional<milliseconds>()> storeClock) -> void
{
    if (m_bootstrapReader)
        m_bootstrapReader->setStoreClock(storeClock);
    m_storeClock = std::move(storeClock);
}

auto RelayedStoreClient::onClock(BootstrapReader::ClockCallback callback) -> void
{
    if (m_bootstrapReader)
        m_bootstrapReader->onClock(std::move(callback));
}

auto RelayedStoreClient::setHosts(const HostDirectory& directory, const Locality& here) -> void
{
    std::vector<std::pair<std::uint64_t, std::string>> byHash;
    for (const auto& host : directory.hostsInRegion(here.region))
        byHash.emplace_back(hashOf(host), host);
    std::sort(byHash.begin(), byHash.end(), std::greater<> {});
    std::map<std::string, std::size_t> hostCounts; // by data centre, as are the following
    for (const auto& [hash, host] : byHash)
        ++hostCounts[directory.find(host)->locality.dataCentre];
    std::map<std::string, std::size_t> relayCounts;
    m_relays.clear();
    m_regionRelays.clear();
    m_storeWatchers.clear();
    m_outagePauseUntil.clear();
    for (const auto& [hash, host] : byHash) {
        const auto& record = *directory.find(host);
        auto& relayCount = relayCounts[record.locality.dataCentre];
        if (relayCount >= relaysFor(hostCounts[record.locality.dataCentre]))
            continue;
        const Relay relay { host, record.peerAddress };
        (record.locality == here ? m_relays : m_regionRelays).push_back(relay);
        if (relayCount++ < m_options.storeWatchersPerDataCentre)
            m_storeWatchers.push_back(relay);
    }
    m_areHostsKnown = m_areHostsKnown || !m_options.isFirstStart || !byHash.empty();
    if (!m_areHostsKnown)
        return;
    startDelayedWatches();
}

// Reads the list of hosts again once most hosts have written their rows. It then contains all changes since version 0.
auto RelayedStoreClient::watchFirstHosts(Callback done) -> void
{
    std::uniform_int_distribution<milliseconds::rep> spread(0, m_options.firstHostsDelay.count() / 4);
    m_scheduler.runAfter(m_options.firstHostsDelay - milliseconds(spread(m_random)),
        [this, alive = m_isAlive, done = std::move(done)]() mutable {
            if (*alive)
                read(m_options.hostTable, std::move(done));
        });
}

auto RelayedStoreClient::delay(const WatchRequest& watch, Callback done) -> void
{
    m_delayedWatches.push_back({ watch, std::move(done) });
    if (watch.table != m_options.freshnessTable)
        return;
    // The list of hosts may take long to come while the rows of this table are already in use.
    m_scheduler.runAfter(std::min(timeUntilStale(watch), m_options.maximumAge), [this, alive = m_isAlive] {
        if (*alive && !m_areHostsKnown)
            startDelayedWatches();
    });
}

auto RelayedStoreClient::startDelayedWatches() -> void
{
    for (auto& delayed : std::exchange(m_delayedWatches, {})) {
        if (m_areHostsKnown)
            watch(delayed.request, std::move(delayed.done));
        else
            watchStore(delayed.request, std::move(delayed.done));
    }
}

// The square root: a change passes from the primary to the relays and from each relay to its hosts, and both steps take
// the time of equally many responses over one host's link.
auto RelayedStoreClient::relaysFor(std::size_t hosts) const -> std::size_t
{
    const auto root = static_cast<std::size_t>(std::ceil(std::sqrt(static_cast<double>(hosts))));
    return std::max(root, m_options.storeWatchersPerDataCentre);
}

auto RelayedStoreClient::contains(const std::vector<Relay>& relays, const std::string& host) -> bool
{
    return std::any_of(relays.begin(), relays.end(), [&host](const Relay& relay) { return relay.host == host; });
}

auto RelayedStoreClient::isRelay() const -> bool { return contains(m_relays, m_options.hostKey); }

auto RelayedStoreClient::isStoreWatcher() const -> bool { return contains(m_storeWatchers, m_options.hostKey); }

auto RelayedStoreClient::isUsable(const Relay& relay, const PauseEnds& pauses, MonotonicTime now) const -> bool
{
    const auto pause = pauses.find(relay.host);
    return relay.host != m_options.hostKey && (pause == pauses.end() || now >= pause->second);
}

auto RelayedStoreClient::firstUsable(const std::vector<Relay>& relays, MonotonicTime now) const -> const Relay*
{
    const auto first = std::find_if(relays.begin(), relays.end(), [&](const Relay& relay) {
        return relay.host == m_options.hostKey || isUsable(relay, m_relayBackoffUntil, now);
    });
    return first == relays.end() ? nullptr : &*first;
}

auto RelayedStoreClient::chooseAmong(const std::vector<Relay>& relays, const PauseEnds& pauses, MonotonicTime now)
    -> std::optional<Relay>
{
    std::vector<Relay> usable;
    std::copy_if(relays.begin(), relays.end(), std::back_inserter(usable),
        [&](const Relay& relay) { return isUsable(relay, pauses, now); });
    return usable.empty() ? std::nullopt : std::optional(usable[m_random() % usable.size()]);
}

auto RelayedStoreClient::chooseRelay(MonotonicTime now) -> std::optional<Relay>
{
    if (isRelay() && !m_storeBackoff.isActive(now)) {
        const auto* first = primaryRelay(now);
        if (first->host == m_options.hostKey)
            first = regionalPrimary(now);
        return !first || first->host == m_options.hostKey ? std::nullopt : std::optional(*first);
    }
    auto relay = chooseAmong(m_relays, m_relayBackoffUntil, now);
    return relay ? relay : chooseAmong(m_regionRelays, m_relayBackoffUntil, now);
}

auto RelayedStoreClient::isWaitingForStore(MonotonicTime now) const -> bool
{
    return !isStoreWatcher() && m_storeBackoff.isActive(now) && !m_storeWatchers.empty();
}

auto RelayedStoreClient::chooseForOutage(MonotonicTime now) -> std::optional<Relay>
{
    // Relays wait at those that ask the store, and not at each other.
    return chooseAmong(isRelay() || m_relays.empty() ? m_storeWatchers : m_relays, m_outagePauseUntil, now);
}

auto RelayedStoreClient::watchForOutage(WatchRequest watch, Callback done) -> void
{
    const auto now = m_scheduler.now();
    if (const auto relay = chooseForOutage(now)) {
        watch.wait = std::max(watch.wait, m_options.relayPollTime);
        watchRelay(*relay, watch, true, std::move(done));
        return;
    }
    m_scheduler.runAfter(m_options.outagePause, [this, alive = m_isAlive, watch, done = std::move(done)]() mutable {
        if (*alive)
            this->watch(watch, std::move(done));
    });
}

auto RelayedStoreClient::read(const std::string& table, Callback done) -> void
{
    const auto cached = m_tables.find(table);
    const bool isFirst = cached == m_tables.end() || !cached->second.hasSnapshot();
    if (!m_bootstrapReader || !isFirst) {
        readFromStore(table, std::move(done));
        return;
    }
    m_bootstrapReader->read(table, [this, alive = m_isAlive, table, done = std::move(done)](Result result) {
        if (!*alive)
            return;
        onRead(table, result);
        done(std::move(result));
    });
}

auto RelayedStoreClient::readFromStore(const std::string& table, Callback done) -> void
{
    m_store.read(table, [this, alive = m_isAlive, table, done = std::move(done)](Result result) {
        if (*alive)
            onRead(table, result);
        done(std::move(result));
    });
}

auto RelayedStoreClient::onRead(const std::string& table, Result& result) -> void
{
    auto* response = std::get_if<StoreResponse>(&result);
    if (response && table == m_options.hostTable)
        m_isHostListPartial = response->isPartial;
    if (!response)
        rejectHeldWatches(table);
    if (response && !response->isPartial)
        updateCache(table, *response, true);
    else if (!response && table == m_options.hostTable)
        startDelayedWatches();
}

auto RelayedStoreClient::readRange(const RangeRequest& range, Callback done) -> void
{
    m_store.readRange(range, std::move(done));
}

auto RelayedStoreClient::write(const WriteRequest& write, Callback done) -> void
{
    m_store.write(write, std::move(done));
}

auto RelayedStoreClient::watch(const WatchRequest& watch, Callback done) -> void
{
    if (m_isHostListPartial && watch.table == m_options.hostTable) {
        watchFirstHosts(std::move(done));
        return;
    }
    if (m_bootstrapReader && !m_areHostsKnown) {
        delay(watch, std::move(done));
        return;
    }
    const auto now = m_scheduler.now();
    auto request = watch;
    // Rows that are about to exceed the maximum age are requested without waiting for a change.
    if (timeUntilStale(watch) < m_options.minimumTimeout)
        request.wait = milliseconds { 0 };
    // A request that doesn't wait goes to the store itself, because it is sent to obtain changes that relays may
    // lack.
    const bool mustAskStore = request.wait.count() == 0 && !m_storeBackoff.isActive(now);
    if (mustAskStore) {
        watchStore(request, std::move(done));
    } else if (const auto relay = chooseRelay(now)) {
        watchRelay(*relay, request, false, std::move(done));
    } else if (isWaitingForStore(now)) {
        watchForOutage(request, std::move(done));
    } else {
        // The relay may have failed because the store was restored. The store then may hold a watch from a version that
        // it gave out again, without a word, for as long as it waits.
        if (m_tablesWithLostRelay.contains(watch.table))
            request.wait = milliseconds { 0 };
        watchStore(request, std::move(done));
    }
}

// Time until the cached rows exceed the maximum age.
auto RelayedStoreClient::timeUntilStale(const WatchRequest& watch) const -> milliseconds
{
    const auto storeNow = m_storeClock ? m_storeClock() : std::nullopt;
    const auto cached = m_tables.find(watch.table);
    if (watch.table != m_options.freshnessTable || !storeNow || cached == m_tables.end())
        return milliseconds::max();
    return m_options.maximumAge - (*storeNow - cached->second.storeTime());
}

auto RelayedStoreClient::watchStore(const WatchRequest& watch, Callback done) -> void
{
    auto request = watch;
    // A relay polls more often, because other hosts wait for its confirmations.
    if (isRelay() && watch.table == m_options.freshnessTable)
        request.wait = std::min(request.wait, m_options.relayPollTime);
    const auto sentAt = m_scheduler.now();
    m_store.watch(
        request, [this, alive = m_isAlive, sentAt, table = watch.table, done = std::move(done)](Result result) {
            if (*alive) {
                recordStoreResult(table, sentAt, result);
                if (auto* response = std::get_if<StoreResponse>(&result))
                    updateCache(table, *response, false);
                else if (std::get<StoreFailure>(result).kind != StoreFailure::Kind::HistoryTruncated)
                    rejectHeldWatches(table); // else the table is read next, for the other hosts too
            }
            done(std::move(result));
        });
}

auto RelayedStoreClient::recordStoreResult(const std::string& table, MonotonicTime sentAt, const Result& result) -> void
{
    const auto* failure = std::get_if<StoreFailure>(&result);
    const bool isUnavailable
        = failure && (failure->kind == StoreFailure::Kind::NotApplied || failure->kind == StoreFailure::Kind::Unknown);
    if (!isUnavailable)
        m_storeBackoff.recordResponse();
    else if (table == m_options.freshnessTable) // counted once, because the requests for several tables fail together
        m_storeBackoff.recordFailure(sentAt);
    else
        m_storeBackoff.extend(sentAt);
}

auto RelayedStoreClient::watchRelay(const Relay& relay, const WatchRequest& watch, bool canOutliveOutage, Callback done)
    -> void
{
    const auto sentAt = m_scheduler.suspendAwareNow();
    const auto pauseUntil = m_scheduler.now() + m_options.outagePause;
    const bool isFreshnessTable = watch.table == m_options.freshnessTable;
    const auto wait
        = isFreshnessTable ? std::min(watch.wait, m_options.relayPollTime + m_options.relayPollMargin) : watch.wait;
    const auto longestTimeout = std::max(timeUntilStale(watch), m_storeBackoff.timeLeft(m_scheduler.now()));
    const auto timeout = std::max(m_options.minimumTimeout, std::min(wait + m_options.responseTimeout, longestTimeout));
    m_transport.watch(relay.address,
        { .table = watch.table,
            .after = watch.after,
            .wait = wait,
            .canOutliveOutage = canOutliveOutage,
            .isFromRelay = isRelay() },
        timeout,
        [this, alive = m_isAlive, relay, sentAt, pauseUntil, canOutliveOutage, watch, isFreshnessTable,
            done = std::move(done)](RelayTransport::Result result) {
            if (!*alive)
                return;
            auto* response = std::get_if<StoreResponse>(&result);
            const auto storeNow = m_storeClock ? m_storeClock() : std::nullopt;
            const bool isStale
                = response && storeNow && isFreshnessTable && *storeNow - response->storeTime > m_options.maximumAge;
            const bool isOfEarlierEra = response && eraOf(response->newestVersion) < m_store.era();
            if (!response || isStale || isOfEarlierEra) {
                const auto reason = response ? Error { "watch through relay", relay.host,
                    isOfEarlierEra ? "its rows are of an earlier era of the store" : "its rows are too old" }
                                             : std::get<Error>(result);
                if (canOutliveOutage)
                    m_outagePauseUntil[relay.host] = pauseUntil;
                onRelayFailed(relay, reason, watch, sentAt, done);
                return;
            }
            response->sentAt = sentAt;
            response->receivedAt = m_scheduler.suspendAwareNow();
            response->isRelayed = true;
            response->isSnapshot = eraOf(response->newestVersion) > eraOf(watch.after);
            m_store.recordEra(eraOf(response->newestVersion));
            m_servingRelays.insert(relay.host);
            // This host may become a relay and then needs every row.
            updateCache(watch.table, *response, response->isSnapshot);
            done(std::move(*response));
        });
}

auto RelayedStoreClient::onRelayFailed(
    const Relay& relay, const Error& reason, const WatchRequest& watch, SuspendAwareTime sentAt, Callback done) -> void
{
    const auto now = m_scheduler.now();
    m_relayBackoffUntil[relay.host] = now + m_options.relayBackoff;
    const auto waited = std::chrono::duration_cast<milliseconds>(m_scheduler.suspendAwareNow() - sentAt);
    log::logEvent(relayFailed,
        { { "table", watch.table }, { "why", reason.toText() }, { "waited-ms", std::to_string(waited.count()) } });
    if (m_servingRelays.contains(relay.host))
        m_tablesWithLostRelay.insert(watch.table);
    this->watch(watch, std::move(done));
}

auto RelayedStoreClient::updateCache(const std::string& table, StoreResponse& response, bool isSnapshot) -> void
{
    auto& cached = m_tables[table];
    // A daemon that starts, or that missed the newer content, learns it from the others until the store has it again.
    if (m_isOutdated && table == m_options.freshnessTable)
        cached.replaceOutdated(response, m_isOutdated);
    cached.update(response, isSnapshot);
    m_tablesWithLostRelay.erase(table);
    respondToHeldWatches(table);
}

auto RelayedStoreClient::canBeCopied(const std::string& table) const -> bool
{
    const auto cached = m_tables.find(table);
    const auto storeNow = m_storeClock ? m_storeClock() : std::nullopt;
    return cached != m_tables.end() && cached->second.hasSnapshot() && storeNow
        && eraOf(cached->second.newestVersion()) == m_store.era()
        && *storeNow - cached->second.storeTime() <= m_options.maximumAge;
}

auto RelayedStoreClient::hasUpdateFor(const TableCache& table, const HeldWatches::Watch& watch) const -> bool
{
    const auto& request = watch.request;
    if (request.isSnapshot)
        return request.acceptsAnyAge ? table.hasSnapshot() : canBeCopied(request.table);
    if (request.table == m_options.freshnessTable && table.confirmations() > watch.confirmations)
        return true;
    return table.hasChangesAfter(request.after);
}

auto RelayedStoreClient::respondToHeldWatches(const std::string& table) -> void
{
    const auto& cached = m_tables[table];
    const auto isDue
        = [&](const HeldWatches::Watch& watch) { return watch.request.table == table && hasUpdateFor(cached, watch); };
    for (const auto& watch : m_heldWatches.take(isDue))
        respondFrom(cached, watch.request.after, watch.exchange);
}

// Rejects the watches of other hosts when this relay loses the store, so that they switch to another source at once.
auto RelayedStoreClient::rejectHeldWatches(const std::string& table) -> void
{
    const auto isRejected = [&table](const HeldWatches::Watch& watch) {
        return watch.request.table == table && !watch.request.canOutliveOutage;
    };
    for (const auto& watch : m_heldWatches.take(isRejected))
        reject(watch.exchange, storeUnreachable);
}

auto RelayedStoreClient::respondFrom(
    const TableCache& table, std::uint64_t after, const std::shared_ptr<http::Exchange>& exchange) -> void
{
    exchange->answer(
        http::makeAnswer(http::statusOk, "application/cbor", encodeRelayWatchResponse(table.changesAfter(after))));
}

auto RelayedStoreClient::handle(const std::shared_ptr<http::Exchange>& exchange) -> void
{
    Error reason;
    const auto request = decodeRelayWatchRequest(exchange->request().body, reason);
    if (!request) {
        reject(exchange, "unreadable");
        return;
    }
    const auto cached = m_tables.find(request->table);
    const bool hasSnapshot = cached != m_tables.end() && cached->second.hasSnapshot();
    if (!request->isSnapshot && (!isRelay() || !hasSnapshot)) {
        reject(exchange, "not a relay");
        return;
    }
    const auto& table = m_tables[request->table];
    // Two relays without the store would each wait for the other's rows.
    const bool mustNotWait = request->isFromRelay && !request->isSnapshot && !request->canOutliveOutage
        && request->wait.count() > 0 && m_storeBackoff.isActive(m_scheduler.now());
    HeldWatches::Watch watch { *request, table.confirmations(), exchange };
    if (hasUpdateFor(table, watch))
        respondFrom(table, request->after, exchange);
    else if (mustNotWait)
        reject(exchange, storeUnreachable);
    else
        m_heldWatches.add(std::move(watch));
}

auto RelayedStoreClient::onHeldWatchTimeout(const HeldWatches::Watch& watch) -> void
{
    if (watch.request.isSnapshot)
        reject(watch.exchange, "no recent copy");
    else
        respondFrom(m_tables[watch.request.table], watch.request.after, watch.exchange);
}

} // namespace coriandergate::fleet
