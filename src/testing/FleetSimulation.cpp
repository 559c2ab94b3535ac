#include "testing/FleetSimulation.h"

#include "testing/internal/SimulatedHost.h"

#include <algorithm>

namespace coriandergate::testing {

using std::chrono::milliseconds;

namespace {

    constexpr milliseconds stepTime { 10 };

    auto addressOf(std::size_t host) -> std::string
    {
        return "10." + std::to_string(host / 200) + ".0." + std::to_string(host % 200) + ":7780";
    }

} // namespace

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
        auto host = std::make_unique<Host>();
        const auto dataCentre = index % dataCentres;
        host->locality = { dataCentre % 2 == 0 ? "near" : "far", "dc-" + std::to_string(dataCentre) };
        host->uplink = m_network.addLink(options.hostLinkBytesPerSecond);
        host->downlink = m_network.addLink(options.hostLinkBytesPerSecond);
        host->address = addressOf(index);
        const fleet::HostRecord record { .peerAddress = host->address,
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
            put(s_hostTable, host->key, host->row);
        m_hosts.push_back(std::move(host));
        connect(index);
    }
    configure();
}

FleetSimulation::~FleetSimulation()
{
    stop([](std::size_t) { return true; });
}

auto FleetSimulation::configure() -> void
{
    put(s_operatorTable, s_configurationKey, std::string(m_options.configurationBytes, 'c'));
}

auto FleetSimulation::setState(std::size_t host, fleet::HostRecord::State state) -> void
{
    Error reason;
    auto record = fleet::decodeHostRecord(m_hosts[host]->key, m_hosts[host]->row, reason).value();
    record.state = state;
    put(s_hostTable, m_hosts[host]->key, fleet::encodeHostRecord(record));
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
    host.view = std::make_unique<fleet::StoreView>(m_scheduler, *host.store, *host.transport,
        fleet::StoreView::Options { .hostKey = host.key,
            .locality = host.locality,
            .operatorTable = s_operatorTable,
            .hostTable = s_hostTable,
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
    put(s_hostTable, host.key, fleet::encodeHostRecord(record));
}

auto FleetSimulation::stop(const std::function<bool(std::size_t host)>& isSelected) -> void { end(isSelected, true); }

auto FleetSimulation::powerOff(const std::function<bool(std::size_t host)>& isSelected) -> void
{
    end(isSelected, false);
}

auto FleetSimulation::end(const std::function<bool(std::size_t host)>& isSelected, bool isNoticed) -> void
{
    for (std::size_t index = 0; index < m_hosts.size(); ++index) {
        if (m_hosts[index]->view && isSelected(index))
            end(index, isNoticed);
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
    return host.view && host.configurationVersion == m_store.row(s_operatorTable, s_configurationKey).version
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
    const auto newest = m_store.row(s_operatorTable, s_configurationKey).version;
    return static_cast<std::size_t>(std::count_if(m_hosts.begin(), m_hosts.end(),
        [newest](const auto& host) { return host->view && host->configurationVersion != newest; }));
}

auto FleetSimulation::knowsOlderConfiguration(std::size_t host) const -> bool
{
    const auto& known = *m_hosts[host];
    return known.view && known.configurationVersion != 0
        && known.configurationVersion != m_store.row(s_operatorTable, s_configurationKey).version;
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

} // namespace coriandergate::testing
