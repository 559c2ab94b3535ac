#include "sidecar/Sidecar.h"

#include "base/Error.h"
#include "fleet/CatchUp.h"
#include "fleet/HostDirectory.h"
#include "fleet/HostRegistration.h"
#include "fleet/RelayWatchCodec.h"
#include "fleet/RelayedStoreClient.h"
#include "fleet/TableWatcher.h"
#include "fleet/VersionProof.h"
#include "http/Exchange.h"
#include "http/Status.h"
#include "log/Event.h"
#include "net/HttpServer.h"
#include "relay/EntryRequest.h"
#include "relay/RateLimitOwner.h"
#include "relay/TargetRelay.h"
#include "sidecar/MetricsPage.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>

namespace coriandergate::sidecar {

using std::chrono::milliseconds;

namespace {

    const log::Event started { 1920, log::Severity::Info, "sidecar started",
        "the addresses on which the daemon listens" };
    const log::Event stopStarted { 1921, log::Severity::Info, "planned stop began",
        "the daemon drains its open requests" };
    const log::Event stopEnded { 1922, log::Severity::Info, "planned stop ended",
        "if requests are still open, they were cancelled because the grace period was too short for them" };
    const log::Event configurationApplied { 1923, log::Severity::Info, "configuration in force",
        "the version of the configuration" };
    const log::Event configurationRejected { 1924, log::Severity::Error, "configuration refused",
        "the reason names the field; the last valid configuration stays in force" };
    const log::Event storeUnreachable { 1925, log::Severity::Warning, "store lost",
        "the store; requests with API keys are rejected once its last response is too old" };
    const log::Event storeReachableAgain { 1926, log::Severity::Info, "store regained", "nothing" };
    const log::Event controlCallRejected { 1928, log::Severity::Warning, "control call refused",
        "a process other than this host's target may be calling the control address; the reason names the fault" };
    const log::Event hostsChanged { 1929, log::Severity::Info, "hosts changed",
        "the number of hosts, which share every limit, and of their targets" };
    const log::Event hostRecordRejected { 1930, log::Severity::Warning, "host record refused",
        "the row is skipped; the reason names the malformed field" };

    const log::Event limitsChanged { 1933, log::Severity::Info, "limits of a client account changed",
        "the rate per second and the burst over all hosts; 0 for no limit" };

    const log::Event unreachableHostRemoved { 1935, log::Severity::Warning, "host taken for gone",
        "its daemon was unreachable for 15 s; its row is removed, and the daemon writes it again if it is running" };

    constexpr const char* hostTable = "hosts";
    // Long poll for the configuration: half of the time for which a withdrawn API key may still work.
    constexpr milliseconds configurationPollTime { 2600 };
    // Long poll for the hosts. It may be long, because a change ends it.
    constexpr milliseconds hostsPollTime { 15000 };
    // Delays that batch changes of host rows. Several rows change at a time, and for seconds when many hosts start or
    // stop.
    constexpr milliseconds hostsChangeDelay { 300 };
    constexpr milliseconds maximumHostsChangeDelay { 600 };
    // Fraction of the revocation bound for which a response of the store counts as fresh. The rest covers the time that
    // a request takes to its target.
    constexpr double freshnessRatio = 0.88;
    // Delay until the callers' port and idle connections are closed. The platform probes readiness every second and
    // acts on the second failure.
    constexpr milliseconds callerDrainDelay { 2300 };
    // Delay until new requests to the target are rejected. The target keeps running while its daemon restarts. Most
    // requests that arrive before then complete before the callers have left, which shortens the unavailability of each
    // host in a rolling restart.
    constexpr milliseconds targetDrainDelay { 1200 };
    // A daemon that is unreachable for this time despite attempts is considered dead. Longer than restarts and pauses.
    constexpr milliseconds unreachableHostTimeout { 15000 };
    constexpr milliseconds unreachableHostCheckPeriod { 8000 };
    constexpr milliseconds stopPollPeriod { 40 };
    constexpr milliseconds responseDeliveryTime { 120 };
    constexpr milliseconds killMargin { 400 }; // the daemon ends this long before the process is killed
    constexpr milliseconds finalResponseMargin { 800 }; // open requests end this long before the process is killed

    auto maximumStoreAge(const HostSettings& settings) -> milliseconds
    {
        return std::chrono::duration_cast<milliseconds>(settings.revocationBound * freshnessRatio);
    }

    auto logChangedLimits(const relay::PolicySnapshot& before, const config::Configuration& after) -> void
    {
        for (const auto& account : after.clientAccounts) {
            const auto* known = before.clientAccount(account.name);
            if (known && known->ratePerSecond == account.ratePerSecond && known->burst == account.burst)
                continue;
            log::logEvent(limitsChanged,
                { { "account", account.name }, { "rate", std::to_string(account.ratePerSecond) },
                    { "burst", std::to_string(account.burst) }, { "version", std::to_string(after.version) } });
        }
    }

    auto recordResponse(dispatch::StalenessTracker& proof, const fleet::StoreResponse& response) -> void
    {
        if (response.isRelayed)
            proof.recordRelayed(response.storeTime);
        else
            proof.recordResponse(response.sentAt, response.receivedAt, response.storeTime);
    }

    auto callerOptions(const HostSettings& settings, const config::CallerLimits& limits) -> net::HttpServer::Options
    {
        constexpr std::size_t bytesPerMegabyte = 1024 * 1024;
        constexpr std::size_t bufferDivisor = 4; // a quarter of the memory may hold requests
        constexpr std::size_t connectionDivisor = 2; // half of the file descriptors may serve callers
        net::HttpServer::Options options;
        options.maximumHeaderBytes = limits.maximumHeaderBytes;
        options.maximumBodyBytes = limits.maximumBodyBytes;
        options.headerTimeout = limits.headerTimeout;
        options.idleTimeout = limits.idleTimeout;
        options.maximumBufferedBytes = settings.memoryMegabytes * bytesPerMegabyte / bufferDivisor;
        options.maximumConnections = settings.fileDescriptors / connectionDivisor;
        return options;
    }

} // namespace

struct Sidecar::State {
    State(boost::asio::io_context& ioContext, const HostSettings& hostSettings, Adapter platformAdapter,
        fleet::StoreClient& store);

    auto start(Error& reason) -> bool;
    auto stop() -> void;
    auto setOpenRequestDeadlines() -> void;
    auto pollStop() -> void;
    auto isReady() const -> bool;
    auto handleControl(const std::shared_ptr<http::Exchange>& exchange) -> void;
    auto receive(const fleet::Heartbeat& heartbeat, const std::shared_ptr<http::Exchange>& exchange) -> void;
    auto receive(const fleet::Deregistration& deregistration, const std::shared_ptr<http::Exchange>& exchange) -> void;
    [[nodiscard]] static auto makeAcknowledge(const std::shared_ptr<http::Exchange>& exchange)
        -> fleet::HostRegistration::Acknowledge;
    auto scheduleUnreachableHostCheck() -> void;
    auto removeUnreachableHosts() -> void;
    auto onConfigurationRows(const std::vector<fleet::StoreRow>& rows) -> void;
    auto onHostRows(const std::vector<fleet::StoreRow>& rows, bool isSnapshot) -> void;
    auto onHostsLoaded() -> void;
    auto releaseEarlyRequestsIfReady() -> void;
    auto onConfigurationResponse(const fleet::StoreResponse& response) -> void;
    auto onHostsResponse(const fleet::StoreResponse& response) -> void;
    auto onConfigurationFailure(const Error& error) -> void;
    auto handlePeer(const std::shared_ptr<http::Exchange>& exchange) -> void;
    auto handleRetryBudgetRequest(const std::shared_ptr<http::Exchange>& exchange) -> void;
    auto rateLimits() const -> dispatch::RateLimits;
    auto metricsPage() const -> std::string;

    boost::asio::io_context& io;
    HostSettings settings;
    Adapter adapter;
    fleet::LocalTarget target;
    fleet::HostDirectory directory;
    net::HttpClient peerClient;
    fleet::RelayedStoreClient storeClient;
    fleet::HostRegistration registration;
    fleet::TableWatcher configurationWatcher;
    fleet::TableWatcher hostWatcher;
    dispatch::StalenessTracker configurationProof; // age of the configuration
    dispatch::StalenessTracker hostsProof; // age of the list of hosts
    dispatch::LoadBalancer board;
    dispatch::RetryBudget retryBudget;
    dispatch::CallRatio callRatio;
    relay::EntryContext entry;
    relay::RateLimitOwner rateHome;
    relay::TargetRelay ownerRelay;
    net::HttpServer callerServer;
    net::HttpServer peerServer;
    net::HttpServer controlServer;
    net::HttpServer readinessServer;
    net::HttpServer metricsServer;
    boost::asio::steady_timer stopTimer;
    boost::asio::steady_timer unreachableHostsTimer;
    MonotonicTime stopStartedAt;
    MonotonicTime lastOpenRequestAt; // last time that a request was open
    bool isStopping = false;
    bool isDraining = false;
    bool areHostsLoaded = false;
    bool isStoreReachable = false;
};

Sidecar::State::State(boost::asio::io_context& ioContext, const HostSettings& hostSettings, Adapter platformAdapter,
    fleet::StoreClient& store)
    : io(ioContext)
    , settings(hostSettings)
    , adapter(std::move(platformAdapter))
    , target(settings.service, settings.targetAddress)
    , peerClient(
          io, { .connectTimeout = milliseconds(400), .idleTimeout = milliseconds(30000), .maximumIdlePerPeer = 4 })
    , storeClient(io, store, peerClient, { .self = settings.hostAddress, .freshnessTable = adapter.operatorTable })
    , registration(io, storeClient, target, directory,
          { .table = hostTable,
              .key = settings.hostAddress,
              .host = { .peerAddress = settings.peerAddress.empty() ? settings.peerListenAddress : settings.peerAddress,
                  .locality = settings.locality,
                  .service = settings.service } })
    , configurationWatcher(io, storeClient, { .table = adapter.operatorTable, .wait = configurationPollTime })
    , hostWatcher(io, storeClient,
          { .table = hostTable,
              .wait = hostsPollTime,
              .changeDelay = hostsChangeDelay,
              .maximumChangeDelay = maximumHostsChangeDelay })
    , configurationProof({ .maximumAge = maximumStoreAge(settings) })
    , hostsProof({ .maximumAge = maximumStoreAge(settings) })
    , board({ .ownLocality = settings.locality })
    , retryBudget({ .retriesPerRequest = settings.retryBudgetRatio,
          .retriesPerWindow = settings.retryBudgetAllowance,
          .window = settings.retryBudgetWindow })
    , entry { .io = io,
        .options = {},
        .headers = adapter.headers,
        .hostKey = settings.hostAddress,
        .service = settings.service,
        .locality = settings.locality,
        .peerClient = peerClient,
        .loadBalancer = board,
        .retryBudget = retryBudget,
        .callRatio = callRatio,
        .configurationFreshness = configurationProof,
        .hostListFreshness = hostsProof,
        .directory = directory,
        .snapshot = nullptr }
    , rateHome(entry,
          { .limits = rateLimits(),
              .fraction = 1 / static_cast<double>(settings.regionCount * dispatch::rateLimitOwnersPerRegion) },
          monotonicNow())
    , ownerRelay(io, target, callRatio, { .headers = adapter.headers })
    , callerServer(io, callerOptions(settings, {}),
          [this](std::shared_ptr<http::Exchange> exchange) { relay::EntryRequest::start(entry, std::move(exchange)); })
    , peerServer(io,
          { .maximumBodyBytes = settings.memoryMegabytes * 1024 * 1024 / 8,
              .idleTimeout = milliseconds(60000),
              .maximumConnections = settings.fileDescriptors / 3 },
          [this](std::shared_ptr<http::Exchange> exchange) { handlePeer(exchange); })
    , controlServer(io, {}, [this](std::shared_ptr<http::Exchange> exchange) { handleControl(exchange); })
    , readinessServer(io, {},
          [this](std::shared_ptr<http::Exchange> exchange) {
              const bool isProbe = exchange->request().target == adapter.readinessPath;
              exchange->answer(http::makeAnswer(!isProbe ? http::statusNotFound
                      : isReady()                        ? http::statusOk
                                                         : http::statusUnavailable,
                  "text/plain", ""));
          })
    , metricsServer(io, {},
          [this](std::shared_ptr<http::Exchange> exchange) {
              exchange->answer(http::makeAnswer(http::statusOk, "text/plain; version=0.0.4", metricsPage()));
          })
    , stopTimer(io)
    , unreachableHostsTimer(io)
{
}

auto Sidecar::State::start(Error& reason) -> bool
{
    peerServer.onConnectionClosed([this](const std::string& connection) { ownerRelay.onConnectionClosed(connection); });
    const auto storeTime = [this] { return configurationProof.storeTime(SuspendAwareClock::now()); };
    ownerRelay.setStoreClock(storeTime);
    storeClient.setStoreClock(storeTime);
    registration.setStoreClock([this] { return hostsProof.storeTime(SuspendAwareClock::now()); });
    registration.onTargetChanged([this] { ownerRelay.onTargetChanged(); });
    if (!callerServer.listen(settings.callerListenAddress, reason)
        || !peerServer.listen(settings.peerListenAddress, reason)
        || !controlServer.listen(settings.controlListenAddress, reason)
        || !readinessServer.listen(settings.readinessListenAddress, reason))
        return false;
    if (!settings.metricsListenAddress.empty() && !metricsServer.listen(settings.metricsListenAddress, reason))
        return false;
    configurationWatcher.onRows([this](const auto& rows, bool) { onConfigurationRows(rows); });
    configurationWatcher.onResponse(
        [this](const fleet::StoreResponse& response) { onConfigurationResponse(response); });
    configurationWatcher.onFailure([this](const Error& error) { onConfigurationFailure(error); });
    hostWatcher.onResponse([this](const fleet::StoreResponse& response) { onHostsResponse(response); });
    hostWatcher.onRows([this](const auto& rows, bool isSnapshot) { onHostRows(rows, isSnapshot); });
    configurationWatcher.start();
    hostWatcher.start();
    scheduleUnreachableHostCheck();
    log::logEvent(started,
        { { "host", settings.hostName }, { "callers", settings.callerListenAddress },
            { "peers", settings.peerListenAddress }, { "control", settings.controlListenAddress },
            { "ready", settings.readinessListenAddress }, { "metrics", settings.metricsListenAddress },
            { "service", settings.service }, { "version", CORIANDERGATE_VERSION } });
    return true;
}

auto Sidecar::State::isReady() const -> bool
{
    return !isStopping && entry.snapshot && areHostsLoaded && configurationProof.isFresh(SuspendAwareClock::now());
}

auto Sidecar::State::onConfigurationResponse(const fleet::StoreResponse& response) -> void
{
    recordResponse(configurationProof, response);
    if (!isStoreReachable)
        log::logEvent(storeReachableAgain, {});
    isStoreReachable = true;
    if (!areHostsLoaded)
        return;
    if (fleet::provesUnchanged(hostWatcher.observedVersion(), response)) {
        hostWatcher.advanceTo(response.newestVersion);
        recordResponse(hostsProof, response);
        return;
    }
    if (fleet::isCatchUpDue(
            hostWatcher.observedVersion(), response.newestVersion, hostsProof.age(SuspendAwareClock::now())))
        hostWatcher.catchUp();
}

// A response on the hosts may also prove that the configuration is unchanged. After an outage of the store the response
// on the hosts comes first if hosts have changed, while requests with API keys wait for a fresh configuration.
auto Sidecar::State::onHostsResponse(const fleet::StoreResponse& response) -> void
{
    recordResponse(hostsProof, response);
    if (!entry.snapshot || !fleet::provesUnchanged(configurationWatcher.observedVersion(), response))
        return;
    configurationWatcher.advanceTo(response.newestVersion);
    recordResponse(configurationProof, response);
}

auto Sidecar::State::onConfigurationFailure(const Error& error) -> void
{
    if (!isStoreReachable)
        return;
    isStoreReachable = false;
    const auto age = configurationProof.age(SuspendAwareClock::now());
    log::logEvent(
        storeUnreachable, { { "why", error.toText() }, { "proof-age-ms", age ? std::to_string(age->count()) : "" } });
}

auto Sidecar::State::rateLimits() const -> dispatch::RateLimits
{
    return { .window = settings.rateWindow, .overage = settings.rateOverage, .slack = settings.rateSlack };
}

auto Sidecar::State::handlePeer(const std::shared_ptr<http::Exchange>& exchange) -> void
{
    if (exchange->request().target == relay::rateLimitPath)
        rateHome.handle(exchange);
    else if (exchange->request().target == relay::borrowPath)
        handleRetryBudgetRequest(exchange);
    else if (exchange->request().target == fleet::relayWatchPath)
        storeClient.handle(exchange);
    else
        ownerRelay.handle(exchange);
}

auto Sidecar::State::handleRetryBudgetRequest(const std::shared_ptr<http::Exchange>& exchange) -> void
{
    Error reason;
    const auto request = relay::decodeBorrowRequest(exchange->request().body, reason);
    const bool isGranted = request
        && retryBudget.tryAcquire(
            request->service, request->calls, dispatch::RetryBudget::RetryClass::Lent, entry.hostCount, monotonicNow());
    exchange->answer(
        http::makeAnswer(isGranted ? http::statusOk : http::statusTooManyRequests, "text/plain", reason.reason));
}

auto Sidecar::State::onConfigurationRows(const std::vector<fleet::StoreRow>& rows) -> void
{
    for (const auto& row : rows) {
        if (row.key != adapter.configurationKey || row.isRemoved)
            continue;
        Error reason;
        auto configuration = adapter.decodeConfiguration(row.value, reason);
        if (!configuration) {
            log::logEvent(configurationRejected, { { "reason", reason.toText() } });
            continue;
        }
        // A response that arrives out of order must not restore an older version.
        if (entry.snapshot && configuration->version <= entry.snapshot->configuration().version)
            continue;
        if (entry.snapshot)
            logChangedLimits(*entry.snapshot, *configuration);
        entry.snapshot = std::make_shared<const relay::PolicySnapshot>(std::move(*configuration));
        const auto& applied = entry.snapshot->configuration();
        callerServer.setOptions(callerOptions(settings, applied.callerLimits));
        log::logEvent(configurationApplied,
            { { "version", std::to_string(applied.version) }, { "routes", std::to_string(applied.routes.size()) },
                { "accounts", std::to_string(applied.clientAccounts.size()) },
                { "row-version", std::to_string(row.version) } });
    }
    releaseEarlyRequestsIfReady();
}

auto Sidecar::State::releaseEarlyRequestsIfReady() -> void
{
    if (!entry.isReady && entry.snapshot && areHostsLoaded)
        entry.markReady();
}

auto Sidecar::State::onHostRows(const std::vector<fleet::StoreRow>& rows, bool isSnapshot) -> void
{
    for (const auto& fault : directory.apply(rows, isSnapshot))
        log::logEvent(hostRecordRejected, { { "reason", fault.toText() } });
    if (!areHostsLoaded)
        onHostsLoaded();
    board.setTargets(directory.targets());
    storeClient.setHosts(directory, settings.locality);
    if (!isStopping)
        registration.onHostsChanged();
    rateHome.setHosts(directory.rateHostsInRegion(settings.locality.region), monotonicNow());
    entry.hostCount = std::max<std::size_t>(1, directory.size());
    log::logEvent(hostsChanged,
        { { "hosts", std::to_string(entry.hostCount) }, { "targets", std::to_string(directory.targets().size()) } });
    releaseEarlyRequestsIfReady();
}

auto Sidecar::State::onHostsLoaded() -> void
{
    areHostsLoaded = true;
    registration.onHostsLoaded();
    ownerRelay.startAccepting();
}

auto Sidecar::State::scheduleUnreachableHostCheck() -> void
{
    // A random period makes it likely that only one host finds a given row to remove.
    std::uniform_int_distribution<milliseconds::rep> period(
        unreachableHostCheckPeriod.count(), 2 * unreachableHostCheckPeriod.count());
    unreachableHostsTimer.expires_after(milliseconds(period(entry.random)));
    unreachableHostsTimer.async_wait([this](const boost::system::error_code& error) {
        if (error || isStopping)
            return;
        removeUnreachableHosts();
        scheduleUnreachableHostCheck();
    });
}

// A dead host whose row remains keeps its share of the limits that all hosts share. A host that is alive writes its row
// again.
auto Sidecar::State::removeUnreachableHosts() -> void
{
    const auto now = monotonicNow();
    for (const auto& host : directory.hostsInDataCentre(settings.locality)) {
        const bool isUnreachable
            = board.isUnreachableFor(directory.find(host)->peerAddress, unreachableHostTimeout, now);
        if (!isUnreachable || host == settings.hostAddress)
            continue;
        log::logEvent(
            unreachableHostRemoved, { { "host", host }, { "row-version", std::to_string(directory.version(host)) } });
        storeClient.write(
            { hostTable, host, directory.version(host), std::nullopt }, [](const fleet::StoreClient::Result&) {
                // If the row has changed or the store is unavailable, the row stays and the next check decides again.
            });
    }
}

auto Sidecar::State::handleControl(const std::shared_ptr<http::Exchange>& exchange) -> void
{
    Error reason;
    const auto call = adapter.decodeControlCall(exchange->request(), reason);
    if (!call) {
        log::logEvent(controlCallRejected, { { "reason", reason.toText() } });
        exchange->answer(http::makeAnswer(http::statusBadRequest, "text/plain", reason.toText()));
        return;
    }
    std::visit([&](const auto& message) { receive(message, exchange); }, *call);
}

// The response is an error if the message isn't stored, so that the target repeats it.
auto Sidecar::State::makeAcknowledge(const std::shared_ptr<http::Exchange>& exchange)
    -> fleet::HostRegistration::Acknowledge
{
    return [exchange](bool isStored) {
        exchange->answer(isStored ? http::makeAnswer(http::statusOk, "application/json", "{}")
                                  : http::makeAnswer(http::statusUnavailable, "text/plain", "not stored yet"));
    };
}

auto Sidecar::State::receive(const fleet::Heartbeat& heartbeat, const std::shared_ptr<http::Exchange>& exchange) -> void
{
    Error reason;
    if (registration.receive(heartbeat, makeAcknowledge(exchange), reason))
        return;
    log::logEvent(controlCallRejected, { { "reason", reason.toText() } });
    exchange->answer(http::makeAnswer(http::statusBadRequest, "text/plain", reason.toText()));
}

auto Sidecar::State::receive(
    const fleet::Deregistration& deregistration, const std::shared_ptr<http::Exchange>& exchange) -> void
{
    registration.receive(deregistration, makeAcknowledge(exchange));
}

auto Sidecar::State::stop() -> void
{
    if (isStopping)
        return;
    isStopping = true;
    stopStartedAt = monotonicNow();
    log::logEvent(stopStarted,
        { { "open", std::to_string(callerServer.openRequests()) },
            { "running", std::to_string(ownerRelay.running()) } });
    callerServer.beginDrain();
    setOpenRequestDeadlines();
    // The row of a serving target stays in the store while the daemon restarts.
    registration.removeRowIfDraining();
    pollStop();
}

// A request that outlasts the grace period gets its actual outcome as a response before the process ends, instead of a
// closed connection.
auto Sidecar::State::setOpenRequestDeadlines() -> void
{
    entry.shutdownDeadline = stopStartedAt + settings.stopGracePeriod - finalResponseMargin;
    const auto requests = entry.openRequests;
    for (const auto& [raw, weak] : requests) {
        if (const auto request = weak.lock())
            request->capDeadline(*entry.shutdownDeadline);
    }
}

auto Sidecar::State::pollStop() -> void
{
    const auto now = monotonicNow();
    const auto open = callerServer.openRequests() + ownerRelay.running();
    if (now >= stopStartedAt + callerDrainDelay && !isDraining) {
        isDraining = true;
        callerServer.finishDrain();
    }
    if (now >= stopStartedAt + targetDrainDelay)
        ownerRelay.stopAccepting();
    const bool isGraceOver = now >= stopStartedAt + settings.stopGracePeriod - killMargin;
    if (open > 0)
        lastOpenRequestAt = now;
    // The last responses may still be in transit to their callers.
    const bool isDrained = isDraining && now >= lastOpenRequestAt + responseDeliveryTime;
    if (isDrained || isGraceOver) {
        log::logEvent(stopEnded, { { "open", std::to_string(open) } });
        configurationWatcher.stop();
        hostWatcher.stop();
        registration.stop();
        io.stop();
        return;
    }
    if (isDraining)
        callerServer.finishDrain();
    stopTimer.expires_after(stopPollPeriod);
    stopTimer.async_wait([this](const boost::system::error_code& error) {
        if (!error)
            pollStop();
    });
}

auto Sidecar::State::metricsPage() const -> std::string
{
    return renderMetricsPage({ .counters = entry.counters,
        .news = ownerRelay.loadReport(monotonicNow()),
        .proofAge = configurationProof.age(SuspendAwareClock::now()),
        .version = entry.snapshot ? entry.snapshot->configuration().version : 0,
        .hosts = entry.hostCount,
        .callerConnections = callerServer.connections(),
        .openRequests = callerServer.openRequests(),
        .targetConnections = ownerRelay.targetConnectionsOpened(),
        .hopConnections = peerClient.connectionsOpened() });
}

Sidecar::Sidecar(boost::asio::io_context& io, const HostSettings& settings, Adapter adapter, fleet::StoreClient& store)
    : m_state(std::make_unique<State>(io, settings, std::move(adapter), store))
{
}

Sidecar::~Sidecar() = default;

auto Sidecar::start(Error& reason) -> bool { return m_state->start(reason); }

auto Sidecar::stop() -> void { m_state->stop(); }

} // namespace coriandergate::sidecar
