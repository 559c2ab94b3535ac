// The messages of FleetSimulation: between hosts, and between hosts and the store.
#include "testing/FleetSimulation.h"

#include "http/Exchange.h"
#include "testing/RelayMessages.h"
#include "testing/internal/SimulatedHost.h"

#include <algorithm>

namespace coriandergate::testing {

using fleet::StoreClient;
using fleet::StoreFailure;
using fleet::StoreResponse;
using std::chrono::milliseconds;

namespace {

    constexpr auto responseOverhead = SimulatedStore::s_responseOverhead;
    // A new connection takes a round trip before the request follows.
    constexpr int delaysUntilRequest = 3;
    constexpr int delaysUntilRefused = 2;
    constexpr milliseconds storeTimeout { 1100 }; // until a response begins, as in platform::PlatformStore
    // For the rest of a large response, and without any progress, as in net::HttpClient.
    constexpr milliseconds longestResponse { 8000 };
    constexpr milliseconds stallTimeout { 1100 };

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

auto FleetSimulation::connect(std::size_t host) -> void
{
    m_hosts[host]->store = std::make_unique<HostStoreClient>(*this, host);
    m_hosts[host]->transport = std::make_unique<HostRelayTransport>(*this, host);
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
    while (m_hosts[relay]->address != address)
        ++relay;
    if (getenv("WATCH") && (int)host == atoi(getenv("WATCH")) && watch.table == "op")
        std::printf("%ld h%zu asks relay h%zu wait %ld outlive %d timeout %ld\n", (long)storeTime().count(), host,
            relay, (long)watch.wait.count(), watch.canOutliveOutage, (long)timeout.count());
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
    if (getenv("WATCH") && (int)host == atoi(getenv("WATCH")) && watch.table == "op")
        std::printf("%ld h%zu asks store wait %ld\n", (long)storeTime().count(), host, (long)watch.wait.count());
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
        if (pending.first.table == s_operatorTable)
            hosts.insert(m_requests.at(id).from);
    }
    return hosts;
}

auto FleetSimulation::snapshotBytes() const -> std::size_t
{
    return m_store.tableBytes(s_operatorTable) + m_store.tableBytes(s_hostTable);
}

auto FleetSimulation::firstHostsBytes() const -> std::size_t
{
    return m_store.tableBytes(s_hostTable, fleet::BootstrapReader::Options {}.firstHosts);
}

} // namespace coriandergate::testing
