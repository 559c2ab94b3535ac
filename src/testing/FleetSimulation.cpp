#include "testing/FleetSimulation.h"

#include "http/Exchange.h"
#include "testing/RelayMessages.h"

#include <algorithm>

namespace coriandergate::testing {

using fleet::StoreClient;
using fleet::StoreFailure;
using fleet::StoreResponse;
using std::chrono::milliseconds;

namespace {

    constexpr const char* operatorTable = "op";
    constexpr const char* configurationKey = "config";
    constexpr const char* hostTable = "hosts";
    constexpr auto responseOverhead = SimulatedStore::s_responseOverhead;
    // A new connection takes a round trip before the request follows.
    constexpr int delaysUntilRequest = 3;
    constexpr int delaysUntilRefused = 2;
    constexpr milliseconds storeTimeout { 1100 }; // until a response begins, as in platform::PlatformStore
    // For the rest of a large response, and without any progress, as in net::HttpClient.
    constexpr milliseconds longestResponse { 8000 };
    constexpr milliseconds stallTimeout { 1100 };
    constexpr milliseconds stepTime { 10 };

    auto addressOf(std::size_t host)
    {
        return "10." + std::to_string(host / 200) + ".0." + std::to_string(host % 200) + ":7780";
    }

} // namespace

class FleetSimulation::HostStoreClient : public StoreClient {
public:
    HostStoreClient(FleetSimulation& fleet, std::size_t host)
        : m_fleet(fleet)
        , m_host(host)
    {
    }

    auto read(const std::string& table, Callback done) -> void override
    {
        m_fleet.queryStore(m_host, { .table = table }, RangeRequest { .table = table }, std::move(done));
    }
    auto readRange(const RangeRequest& range, Callback done) -> void override
    {
        m_fleet.queryStore(m_host, { .table = range.table }, range, std::move(done));
    }
    auto watch(const WatchRequest& watch, Callback done) -> void override
    {
        m_fleet.queryStore(m_host, watch, std::nullopt, std::move(done));
    }
    auto write(const WriteRequest&, Callback) -> void override { }

private:
    FleetSimulation& m_fleet;
    std::size_t m_host;
};

class FleetSimulation::HostRelayTransport : public fleet::RelayTransport {
public:
    HostRelayTransport(FleetSimulation& fleet, std::size_t host)
        : m_fleet(fleet)
        , m_host(host)
    {
    }

    auto watch(const std::string& address, const fleet::RelayWatchRequest& request, milliseconds timeout, Callback done)
        -> void override
    {
        m_fleet.queryRelay(m_host, address, request, timeout, std::move(done));
    }

private:
    FleetSimulation& m_fleet;
    std::size_t m_host;
};

struct FleetSimulation::Host {
    Host(FleetSimulation& fleet, std::size_t index)
        : store(fleet, index)
        , transport(fleet, index)
    {
    }

    Locality locality;
    std::string key;
    std::string row; // value of its row in the store
    SimulatedNetwork::Link uplink = 0;
    SimulatedNetwork::Link downlink = 0;
    HostStoreClient store;
    HostRelayTransport transport;
    Impairment impairment;
    bool isStarting = false;
    bool isDark = false; // without power
    std::unique_ptr<fleet::StoreView> view; // while the daemon runs
    std::optional<fleet::HostRecord::State> stateAtStart;
    std::uint64_t configurationVersion = 0; // row version that the daemon knows
};

FleetSimulation::FleetSimulation(const Options& options)
    : m_options(options)
    , m_network(m_scheduler)
    , m_regionLink(m_network.addLink(options.regionLinkBytesPerSecond))
    , m_reverseRegionLink(m_network.addLink(options.regionLinkBytesPerSecond))
    , m_storeServes([](std::size_t) { return true; })
    , m_random(options.seed)
{
    const auto dataCentres = 2 * options.dataCentresPerRegion;
    for (std::size_t index = 0; index < options.hosts; ++index) {
        auto host = std::make_unique<Host>(*this, index);
        const auto dataCentre = index % dataCentres;
        host->locality = { dataCentre % 2 == 0 ? "near" : "far", "dc-" + std::to_string(dataCentre) };
        host->uplink = m_network.addLink(options.hostLinkBytesPerSecond);
        host->downlink = m_network.addLink(options.hostLinkBytesPerSecond);
        const fleet::HostRecord record { .peerAddress = addressOf(index),
            .locality = host->locality,
            .service = "ledger-7a1",
            .targetId = "i-" + std::to_string(0x10000000 + index),
            .targetStartedAt = 1'765'000'000'000 + index,
            .slots = 13,
            .state = fleet::HostRecord::State::Serving,
            .joinedAt = milliseconds(1000 + index) };
        host->key
            = fleet::hostRowKey(record.locality.region, record.peerAddress.substr(0, record.peerAddress.find(':')));
        host->row = fleet::encodeHostRecord(record);
        if (!options.isFirstStart)
            put(hostTable, host->key, host->row);
        m_hosts.push_back(std::move(host));
    }
    configure();
}

FleetSimulation::~FleetSimulation()
{
    stop([](std::size_t) { return true; });
}

auto FleetSimulation::configure() -> void
{
    put(operatorTable, configurationKey, std::string(m_options.configurationBytes, 'c'));
}

auto FleetSimulation::setState(std::size_t host, fleet::HostRecord::State state) -> void
{
    Error reason;
    auto record = fleet::decodeHostRecord(m_hosts[host]->key, m_hosts[host]->row, reason).value();
    record.state = state;
    put(hostTable, m_hosts[host]->key, fleet::encodeHostRecord(record));
}

auto FleetSimulation::stateAtStart(std::size_t host) const -> std::optional<fleet::HostRecord::State>
{
    return m_hosts[host]->stateAtStart;
}

auto FleetSimulation::setStoreServes(std::function<bool(std::size_t host)> serves) -> void
{
    m_storeServes = std::move(serves);
}

auto FleetSimulation::setStoreIsSilent(bool isSilent) -> void
{
    m_isStoreSilent = isSilent;
    if (isSilent)
        m_storeWatches.clear(); // the hosts' requests then end by their timeouts
}

// ---------------------------------------------------------------------------------------------------------------------
// Daemons

auto FleetSimulation::startAll() -> void
{
    std::uniform_int_distribution<milliseconds::rep> spread(0, m_options.startSpread.count());
    for (std::size_t index = 0; index < m_hosts.size(); ++index) {
        auto& host = *m_hosts[index];
        if (host.view || host.isStarting)
            continue;
        host.isStarting = true;
        m_scheduler.runAfter(milliseconds(spread(m_random)), [this, index] { startHost(index); });
    }
}

auto FleetSimulation::startHost(std::size_t index) -> void
{
    auto& host = *m_hosts[index];
    host.isStarting = false;
    host.isDark = false;
    host.configurationVersion = 0;
    host.stateAtStart.reset();
    host.view = std::make_unique<fleet::StoreView>(m_scheduler, host.store, host.transport,
        fleet::StoreView::Options { .hostKey = host.key,
            .locality = host.locality,
            .operatorTable = operatorTable,
            .hostTable = hostTable,
            .isFirstStart = m_options.isFirstStart,
            .randomSeed = static_cast<std::uint32_t>(m_random()) });
    host.view->onOperatorRows([&host](const std::vector<fleet::StoreRow>& rows, bool) {
        for (const auto& row : rows)
            host.configurationVersion = std::max(host.configurationVersion, row.version);
    });
    host.view->onHostsChanged([&host](const std::vector<Error>&) {
        if (const auto* record = host.view->directory().find(host.key); record && !host.stateAtStart)
            host.stateAtStart = record->state;
    });
    host.view->start();
    if (!m_options.isFirstStart)
        return;
    std::uniform_int_distribution<milliseconds::rep> spread(0, m_options.heartbeatPeriod.count());
    m_scheduler.runAfter(milliseconds(spread(m_random)), [this, index] { writeRow(index); });
}

// Writes the row once the daemon knows whether it has one.
auto FleetSimulation::writeRow(std::size_t index) -> void
{
    auto& host = *m_hosts[index];
    if (!host.view)
        return;
    if (!host.view->areHostsLoaded()) {
        m_scheduler.runAfter(m_options.heartbeatPeriod, [this, index] { writeRow(index); });
        return;
    }
    ++m_storeRequests;
    Error reason;
    auto record = fleet::decodeHostRecord(host.key, host.row, reason).value();
    record.joinedAt = storeTime();
    put(hostTable, host.key, fleet::encodeHostRecord(record));
}

auto FleetSimulation::stop(const std::function<bool(std::size_t host)>& isSelected) -> void
{
    for (std::size_t index = 0; index < m_hosts.size(); ++index) {
        if (m_hosts[index]->view && isSelected(index))
            end(index, true);
    }
}

auto FleetSimulation::powerOff(const std::function<bool(std::size_t host)>& isSelected) -> void
{
    for (std::size_t index = 0; index < m_hosts.size(); ++index) {
        if (m_hosts[index]->view && isSelected(index))
            end(index, false);
    }
}

auto FleetSimulation::end(std::size_t index, bool isNoticed) -> void
{
    for (auto it = m_requests.begin(); it != m_requests.end();) {
        const auto id = it->first;
        const auto& request = it->second;
        ++it;
        if (request.from == index)
            finish(id);
        else if (request.to == index && isNoticed)
            m_scheduler.runAfter(delay(index, request.from), [this, id] { failRequest(id); });
    }
    m_hosts[index]->view.reset();
    m_hosts[index]->isDark = !isNoticed;
}

auto FleetSimulation::setImpairment(std::size_t host, const Impairment& impairment) -> void
{
    m_hosts[host]->impairment = impairment;
}

auto FleetSimulation::arrives(std::size_t host, std::optional<std::size_t> other) const -> bool
{
    const auto& impairment = m_hosts[host]->impairment;
    if (!other)
        return !impairment.isCutFromStore;
    return !impairment.isCutFromHosts && !m_hosts[*other]->impairment.isCutFromHosts;
}

auto FleetSimulation::isInformed(const Host& host) const -> bool
{
    const auto now = m_scheduler.suspendAwareNow();
    return host.view && host.configurationVersion == m_store.row(operatorTable, configurationKey).version
        && host.view->directory().size() == m_hosts.size() && host.view->operatorFreshness().isFresh(now)
        && host.view->hostListFreshness().isFresh(now);
}

auto FleetSimulation::informedShare(std::size_t region) const -> double
{
    double hosts = 0;
    double informed = 0;
    for (std::size_t index = region; index < m_hosts.size(); index += 2) {
        ++hosts;
        informed += isInformed(*m_hosts[index]) ? 1 : 0;
    }
    return hosts == 0 ? 1 : informed / hosts;
}

auto FleetSimulation::uninformedHosts() const -> std::size_t
{
    const auto newest = m_store.row(operatorTable, configurationKey).version;
    return static_cast<std::size_t>(std::count_if(m_hosts.begin(), m_hosts.end(),
        [newest](const auto& host) { return host->view && host->configurationVersion != newest; }));
}

auto FleetSimulation::knowsOlderConfiguration(std::size_t host) const -> bool
{
    const auto& known = *m_hosts[host];
    return known.view && known.configurationVersion != 0
        && known.configurationVersion != m_store.row(operatorTable, configurationKey).version;
}

auto FleetSimulation::timeUntilInformed(double share, milliseconds longest) -> std::optional<milliseconds>
{
    for (milliseconds time { 0 }; time <= longest; time += stepTime) {
        if (informedShare(0) >= share && informedShare(1) >= share)
            return time;
        runFor(stepTime);
    }
    return std::nullopt;
}

// ---------------------------------------------------------------------------------------------------------------------
// Requests

auto FleetSimulation::delay(std::size_t from, std::optional<std::size_t> to) const -> milliseconds
{
    return from % 2 == to.value_or(0) % 2 ? m_options.localDelay : m_options.regionDelay;
}

auto FleetSimulation::responsePath(std::optional<std::size_t> from, std::size_t to) const
    -> std::vector<SimulatedNetwork::Link>
{
    std::vector<SimulatedNetwork::Link> path { m_hosts[to]->downlink };
    if (from)
        path.push_back(m_hosts[*from]->uplink);
    if (from.value_or(0) % 2 != to % 2)
        path.push_back(to % 2 == 1 ? m_regionLink : m_reverseRegionLink);
    return path;
}

auto FleetSimulation::start(const Request& request, milliseconds timeout) -> RequestId
{
    const auto id = m_nextRequest++;
    auto& added = m_requests.emplace(id, request).first->second;
    added.timeout = m_scheduler.runAfter(timeout, [this, id] { failRequest(id); });
    return id;
}

auto FleetSimulation::finish(RequestId id) -> void
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end())
        return;
    const auto request = std::move(found->second);
    m_requests.erase(found);
    m_storeWatches.erase(id);
    m_scheduler.cancel(request.timeout);
    m_network.cancel(request.transfer);
    if (request.abandon)
        request.abandon();
}

auto FleetSimulation::failRequest(RequestId id) -> void
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end())
        return;
    const auto fail = found->second.fail;
    finish(id);
    fail();
}

auto FleetSimulation::respond(RequestId id, std::size_t bytes, std::function<void()> deliver) -> void
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end())
        return;
    auto& request = found->second;
    if (!arrives(request.from, request.to))
        return;
    if (request.mayTakeLong)
        extendTimeout(id);
    request.transfer
        = m_network.start(responsePath(request.to, request.from), bytes, [this, id, deliver = std::move(deliver)] {
              const auto sent = m_requests.find(id);
              if (sent == m_requests.end())
                  return;
              const auto [from, to] = std::pair(sent->second.from, sent->second.to);
              if (!arrives(from, to)) {
                  m_scheduler.runAfter(stallTimeout, [this, id] { failRequest(id); });
                  return;
              }
              m_scheduler.runAfter(delay(from, to) + m_hosts[from]->impairment.messageDelay, [this, id, deliver] {
                  if (!m_requests.contains(id))
                      return;
                  finish(id);
                  deliver();
              });
          });
}

auto FleetSimulation::extendTimeout(RequestId id) -> void
{
    auto& request = m_requests.at(id);
    m_scheduler.cancel(request.timeout);
    request.timeout = m_scheduler.runAfter(longestResponse, [this, id] { failRequest(id); });
}

auto FleetSimulation::queryRelay(std::size_t host, const std::string& address, const fleet::RelayWatchRequest& watch,
    milliseconds timeout, fleet::RelayTransport::Callback done) -> void
{
    std::size_t relay = 0;
    while (addressOf(relay) != address)
        ++relay;
    if (getenv("WATCH") && (int)host == atoi(getenv("WATCH")) && watch.table == "op") std::printf("%ld h%zu asks relay h%zu wait %ld outlive %d timeout %ld\n", (long)storeTime().count(), host, relay, (long)watch.wait.count(), watch.canOutliveOutage, (long)timeout.count());
    const auto fail = [done, address] { done(Error { "watch through relay", address, "no response" }); };
    const auto id = start(
        { .from = host, .to = relay, .mayTakeLong = watch.isSnapshot, .fail = fail, .abandon = nullptr }, timeout);
    if (!arrives(host, relay) || m_hosts[relay]->isDark)
        return;
    if (!m_hosts[relay]->view) {
        m_scheduler.runAfter(delaysUntilRefused * delay(host, relay), [this, id] { failRequest(id); });
        return;
    }
    http::Request request {
        .method = "POST", .target = std::string(fleet::relayWatchPath), .headers = {}, .body = relayRequestBody(watch)
    };
    m_scheduler.runAfter(delaysUntilRequest * delay(host, relay) + m_hosts[relay]->impairment.messageDelay,
        [this, id, relay, address, request = std::move(request), done = std::move(done)] {
            const auto found = m_requests.find(id);
            if (found == m_requests.end())
                return;
            if (!m_hosts[relay]->view) {
                if (!m_hosts[relay]->isDark)
                    failRequest(id);
                return;
            }
            const auto exchange = std::make_shared<http::Exchange>(
                request, "caller", 0, [this, id, address, done](const http::Answer& answer) {
                    respond(id, responseOverhead + answer.body.size(),
                        [done, result = decodeRelayAnswer(answer, address)] { done(result); });
                });
            found->second.abandon = [weak = std::weak_ptr(exchange)] {
                if (const auto open = weak.lock())
                    open->abandon();
            };
            m_hosts[relay]->view->client().handle(exchange);
        });
}

// ---------------------------------------------------------------------------------------------------------------------
// The store

auto FleetSimulation::queryStore(std::size_t host, const StoreClient::WatchRequest& watch,
    const std::optional<StoreClient::RangeRequest>& range, StoreClient::Callback done) -> void
{
    if (getenv("WATCH") && (int)host == atoi(getenv("WATCH")) && watch.table == "op") std::printf("%ld h%zu asks store wait %ld\n", (long)storeTime().count(), host, (long)watch.wait.count());
    ++m_storeRequests;
    const auto sentAt = m_scheduler.suspendAwareNow();
    const auto complete = [this, sentAt, done = std::move(done)](StoreClient::Result result) {
        if (auto* response = std::get_if<StoreResponse>(&result)) {
            response->sentAt = sentAt;
            response->receivedAt = m_scheduler.suspendAwareNow();
        }
        done(std::move(result));
    };
    const auto fail = [complete] {
        complete(StoreFailure { StoreFailure::Kind::Unknown, { "query", "store", "no whole response in time" }, {} });
    };
    const auto id = start({ .from = host, .to = std::nullopt, .mayTakeLong = true, .fail = fail, .abandon = nullptr },
        storeTimeout + watch.wait);
    m_scheduler.runAfter(delaysUntilRequest * delay(host, std::nullopt) + m_options.storeServiceTime,
        [this, id, watch, range, complete] {
            if (m_requests.contains(id) && arrives(m_requests.at(id).from, std::nullopt))
                handleAtStore(id, watch, range, complete);
        });
}

auto FleetSimulation::handleAtStore(RequestId id, const StoreClient::WatchRequest& watch,
    const std::optional<StoreClient::RangeRequest>& range, const StoreClient::Callback& done) -> void
{
    if (m_isStoreSilent)
        return;
    if (!m_storeServes(m_requests.at(id).from)) {
        respond(id, responseOverhead, [done] {
            done(StoreFailure { StoreFailure::Kind::NotApplied, { "query", "store", "status 503" }, {} });
        });
        return;
    }
    if (!m_store.hasGivenOut(watch.after)) {
        respond(id, responseOverhead, [done, era = m_store.era()] {
            done(StoreFailure { StoreFailure::Kind::HistoryTruncated, { "watch", "store", "status 410" }, {}, era });
        });
        return;
    }
    auto response = m_store.rowsAfter(watch.table, watch.after, storeTime());
    if (range && range->limit > 0) {
        std::erase_if(response.rows,
            [&range](const fleet::StoreRow& row) { return row.key < range->firstKey || row.key >= range->endKey; });
        response.rows.resize(std::min(range->limit, response.rows.size()));
    }
    if (range || !response.rows.empty() || watch.wait.count() == 0) {
        respond(id, SimulatedStore::responseBytes(response), [done, response] { done(response); });
        return;
    }
    m_storeWatches[id] = { watch, done };
    m_scheduler.runAfter(watch.wait, [this, id] { endStoreWatch(id); });
}

auto FleetSimulation::endStoreWatch(RequestId id) -> void
{
    const auto found = m_storeWatches.find(id);
    if (found == m_storeWatches.end())
        return;
    const auto [watch, done] = std::move(found->second);
    m_storeWatches.erase(found);
    const auto response = m_store.rowsAfter(watch.table, watch.after, storeTime());
    respond(id, SimulatedStore::responseBytes(response), [done = done, response] { done(response); });
}

auto FleetSimulation::put(const std::string& table, const std::string& key, const std::string& value) -> void
{
    m_store.put(table, key, value);
    std::vector<RequestId> changed;
    for (const auto& [id, pending] : m_storeWatches) {
        if (pending.first.table == table)
            changed.push_back(id);
    }
    for (const auto id : changed)
        endStoreWatch(id);
}

auto FleetSimulation::restoreStore() -> void
{
    m_store.restore();
    for (const auto& [id, pending] : std::exchange(m_storeWatches, {})) {
        respond(id, responseOverhead, [done = pending.second, era = m_store.era()] {
            done(StoreFailure { StoreFailure::Kind::NotApplied, { "watch", "store", "status 503" }, {}, era });
        });
    }
}

auto FleetSimulation::hostsWatchingConfiguration() const -> std::set<std::size_t>
{
    std::set<std::size_t> hosts;
    for (const auto& [id, pending] : m_storeWatches) {
        if (pending.first.table == operatorTable)
            hosts.insert(m_requests.at(id).from);
    }
    return hosts;
}

auto FleetSimulation::snapshotBytes() const -> std::size_t
{
    return m_store.tableBytes(operatorTable) + m_store.tableBytes(hostTable);
}

auto FleetSimulation::firstHostsBytes() const -> std::size_t
{
    return m_store.tableBytes(hostTable, fleet::BootstrapReader::Options {}.firstHosts);
}

} // namespace coriandergate::testing
