#include "sidecar/Sidecar.h"

#include "base/Error.h"
#include "fleet/HostDirectory.h"
#include "fleet/HostRegistration.h"
#include "fleet/HttpRelayTransport.h"
#include "fleet/RelayWatchCodec.h"
#include "fleet/StoreView.h"
#include "http/Exchange.h"
#include "http/Status.h"
#include "log/Event.h"
#include "net/AsioScheduler.h"
#include "net/HttpServer.h"
#include "relay/CrashRegistry.h"
#include "relay/EntryRequest.h"
#include "relay/LocalPlacement.h"
#include "relay/RateLimitOwner.h"
#include "relay/TargetRelay.h"
#include "sidecar/ColdBounds.h"
#include "sidecar/ConfigurationFeed.h"
#include "sidecar/MetricsPage.h"
#include "sidecar/ResourceLimits.h"
#include "sidecar/RowCleaner.h"
#include "sidecar/TimeBounds.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>

namespace coriandergate::sidecar {

namespace {

    const log::Event started { 1920, log::Severity::Info, "sidecar started",
        "the addresses on which the daemon listens" };
    const log::Event stopStarted { 1921, log::Severity::Info, "planned stop began",
        "the daemon drains its open requests" };
    const log::Event stopEnded { 1922, log::Severity::Info, "planned stop ended",
        "if requests are still open, they were cancelled because the grace period was too short for them" };
    const log::Event storeUnreachable { 1925, log::Severity::Warning, "store lost",
        "the store; requests with API keys are rejected once its last response is too old" };
    const log::Event storeReachableAgain { 1926, log::Severity::Info, "store regained", "nothing" };
    const log::Event storeRestored { 1975, log::Severity::Warning, "store came back from an older copy",
        "the store; what it had confirmed in the last seconds before is read anew and written again" };
    const log::Event controlCallRejected { 1928, log::Severity::Warning, "control call refused",
        "a process other than this host's target may be calling the control address; the reason names the fault" };
    const log::Event hostsChanged { 1929, log::Severity::Info, "hosts changed",
        "the number of hosts, which share every limit, and of their targets" };
    const log::Event hostRecordRejected { 1930, log::Severity::Warning, "host record refused",
        "the row is skipped; the reason names the malformed field" };

    constexpr const char* hostTable = "hosts";
    constexpr std::chrono::milliseconds peerConnectTimeout { 400 };
    constexpr std::chrono::milliseconds peerClientIdleTimeout { 30000 };
    constexpr std::size_t maximumIdleConnectionsPerPeer = 4;

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
    auto onOperatorRows(const std::vector<fleet::StoreRow>& rows, bool isSnapshot) -> void;
    auto onHostsChanged(const std::vector<Error>& faults) -> void;
    auto startAcceptingIfLoaded() -> void;
    auto startPendingRequestsIfReady() -> void;
    auto onStoreResponse() -> void;
    auto onStoreFailure(const Error& error) -> void;
    auto onStoreRestored() -> void;
    auto handlePeer(const std::shared_ptr<http::Exchange>& exchange) -> void;
    auto handleRetryBudgetRequest(const std::shared_ptr<http::Exchange>& exchange) -> void;
    auto rateLimits() const -> dispatch::RateLimits;
    auto metricsPage() const -> std::string;

    boost::asio::io_context& io;
    HostSettings settings;
    std::string hostKey; // of this host's row in the store
    Adapter adapter;
    fleet::LocalTarget target;
    net::AsioScheduler scheduler;
    net::HttpClient peerClient;
    fleet::HttpRelayTransport relayTransport;
    fleet::StoreView storeView;
    fleet::HostRegistration registration;
    dispatch::LoadBalancer loadBalancer;
    dispatch::RetryBudget retryBudget;
    dispatch::CallRatio callRatio;
    relay::CrashRegistry crashRegistry;
    relay::EntryContext entryContext;
    ConfigurationFeed configurationFeed;
    RowCleaner rowCleaner;
    relay::RateLimitOwner rateLimitOwner;
    relay::LocalPlacement localPlacement;
    relay::TargetRelay targetRelay;
    net::HttpServer callerServer;
    net::HttpServer peerServer;
    net::HttpServer controlServer;
    net::HttpServer readinessServer;
    net::HttpServer metricsServer;
    boost::asio::steady_timer stopTimer;
    MonotonicTime stopStartedAt;
    MonotonicTime lastOpenRequestAt; // last time that a request was open
    bool isStopping = false;
    bool isCallerPortClosed = false;
    bool areHostsLoaded = false;
    bool areOperatorRowsLoaded = false; // with the hosts, the target of this host accepts requests
    bool isStoreReachable = false;
};

Sidecar::State::State(boost::asio::io_context& ioContext, const HostSettings& hostSettings, Adapter platformAdapter,
    fleet::StoreClient& store)
    : io(ioContext)
    , settings(hostSettings)
    , hostKey(fleet::hostRowKey(settings.locality.region, settings.hostAddress))
    , adapter(std::move(platformAdapter))
    , target(settings.service, settings.targetAddress)
    , scheduler(io)
    , peerClient(io,
          { .connectTimeout = peerConnectTimeout,
              .idleTimeout = peerClientIdleTimeout,
              .maximumIdlePerPeer = maximumIdleConnectionsPerPeer,
              .maximumBufferedBytes = maximumAnswerBytes(settings) })
    , relayTransport(peerClient)
    , storeView(scheduler, store, relayTransport,
          { .hostKey = hostKey,
              .locality = settings.locality,
              .operatorTable = adapter.operatorTable,
              .hostTable = hostTable,
              .maximumAge = maximumResponseAge(settings),
              .isFirstStart = settings.isFirstStart })
    , registration(io, storeView.client(), target, storeView.directory(),
          { .table = hostTable,
              .key = hostKey,
              .formerKey = settings.hostAddress,
              .host = { .peerAddress = settings.peerAddress.empty() ? settings.peerListenAddress : settings.peerAddress,
                  .locality = settings.locality,
                  .service = settings.service } })
    , loadBalancer({ .ownLocality = settings.locality })
    , retryBudget({ .retriesPerRequest = settings.retryBudgetRatio,
          .retriesPerWindow = settings.retryBudgetAllowance,
          .window = settings.retryBudgetWindow })
    , crashRegistry(
          storeView.directory(), storeView.client(), { .table = hostTable, .region = settings.locality.region })
    , entryContext { .io = io,
        .options = { .requiresApiKeys = settings.requiresApiKeys },
        .headers = adapter.headers,
        .hostKey = hostKey,
        .service = settings.service,
        .locality = settings.locality,
        .peerClient = peerClient,
        .loadBalancer = loadBalancer,
        .retryBudget = retryBudget,
        .callRatio = callRatio,
        .configurationFreshness = storeView.operatorFreshness(),
        .hostListFreshness = storeView.hostListFreshness(),
        .directory = storeView.directory(),
        .crashRegistry = crashRegistry,
        .snapshot = nullptr,
        .hedging = dispatch::Hedging({ .limit = settings.hedgingLimit }) }
    , configurationFeed(adapter, settings, entryContext)
    , rowCleaner(io, storeView, loadBalancer, { .table = hostTable, .hostKey = hostKey, .locality = settings.locality })
    , rateLimitOwner(entryContext,
          { .limits = rateLimits(),
              .fraction = 1 / static_cast<double>(settings.regionCount * dispatch::rateLimitOwnersPerRegion) },
          monotonicNow())
    , localPlacement(entryContext)
    , targetRelay(io, target, callRatio,
          { .headers = adapter.headers,
              .isArrivalBoundExpected = settings.coldOverage > 0,
              .limitsWarmTarget = settings.limitsWarmTarget,
              .maximumBufferedAnswerBytes = maximumAnswerBytes(settings) })
    , callerServer(io, callerOptions(settings, {}),
          [this](std::shared_ptr<http::Exchange> exchange) {
              relay::EntryRequest::start(entryContext, std::move(exchange));
          })
    , peerServer(io, peerOptions(settings), [this](std::shared_ptr<http::Exchange> exchange) { handlePeer(exchange); })
    , controlServer(
          io, controlOptions(settings), [this](std::shared_ptr<http::Exchange> exchange) { handleControl(exchange); })
    , readinessServer(io, controlOptions(settings),
          [this](std::shared_ptr<http::Exchange> exchange) {
              const bool isProbe = exchange->request().target == adapter.readinessPath;
              exchange->answer(http::makeAnswer(!isProbe ? http::statusNotFound
                      : isReady()                        ? http::statusOk
                                                         : http::statusUnavailable,
                  "text/plain", ""));
          })
    , metricsServer(io, controlOptions(settings),
          [this](std::shared_ptr<http::Exchange> exchange) {
              exchange->answer(http::makeAnswer(http::statusOk, "text/plain; version=0.0.4", metricsPage()));
          })
    , stopTimer(io)
{
}

auto Sidecar::State::start(Error& reason) -> bool
{
    peerServer.onConnectionClosed(
        [this](const std::string& connection) { targetRelay.onConnectionClosed(connection); });
    targetRelay.setStoreClock([this] { return storeView.operatorFreshness().storeTime(SuspendAwareClock::now()); });
    registration.setStoreClock([this] { return storeView.hostListFreshness().storeTime(SuspendAwareClock::now()); });
    crashRegistry.setStoreClock([this] { return storeView.hostListFreshness().storeTime(SuspendAwareClock::now()); });
    registration.onTargetChanged([this] { targetRelay.onTargetChanged(); });
    targetRelay.setPlacement(localPlacement);
    entryContext.runningPriorities = &targetRelay.runningPriorities();
    registration.onHeartbeat([this] { targetRelay.onHeartbeat(); });
    if (!callerServer.listen(settings.callerListenAddress, reason)
        || !peerServer.listen(settings.peerListenAddress, reason)
        || !controlServer.listen(settings.controlListenAddress, reason)
        || !readinessServer.listen(settings.readinessListenAddress, reason))
        return false;
    if (!settings.metricsListenAddress.empty() && !metricsServer.listen(settings.metricsListenAddress, reason))
        return false;
    storeView.onOperatorRows(
        [this](const std::vector<fleet::StoreRow>& rows, bool isSnapshot) { onOperatorRows(rows, isSnapshot); });
    storeView.onHostsChanged([this](const std::vector<Error>& faults) { onHostsChanged(faults); });
    storeView.onResponse([this] { onStoreResponse(); });
    storeView.onFailure([this](const Error& error) { onStoreFailure(error); });
    storeView.onEraRose([this] { onStoreRestored(); });
    storeView.client().setIsOutdated([this](const fleet::StoreRow& received, const fleet::StoreRow& known) {
        return configurationFeed.isOutdated(received, known);
    });
    if (!settings.isFirstStart)
        retryBudget.onRestart(monotonicNow());
    storeView.start();
    rowCleaner.start();
    log::logEvent(started,
        { { "host", settings.hostName }, { "callers", settings.callerListenAddress },
            { "peers", settings.peerListenAddress }, { "control", settings.controlListenAddress },
            { "ready", settings.readinessListenAddress }, { "metrics", settings.metricsListenAddress },
            { "service", settings.service }, { "version", CORIANDERGATE_VERSION } });
    return true;
}

auto Sidecar::State::isReady() const -> bool
{
    return !isStopping && entryContext.snapshot && areHostsLoaded
        && storeView.operatorFreshness().isFresh(SuspendAwareClock::now());
}

auto Sidecar::State::onStoreResponse() -> void
{
    if (!isStoreReachable)
        log::logEvent(storeReachableAgain, {});
    isStoreReachable = true;
    if (configurationFeed.endUnconfirmedEvacuations(monotonicNow()))
        targetRelay.onEvacuationsChanged();
}

auto Sidecar::State::onStoreFailure(const Error& error) -> void
{
    if (!isStoreReachable)
        return;
    isStoreReachable = false;
    const auto age = storeView.operatorFreshness().age(SuspendAwareClock::now());
    log::logEvent(
        storeUnreachable, { { "why", error.toText() }, { "proof-age-ms", age ? std::to_string(age->count()) : "" } });
}

auto Sidecar::State::onStoreRestored() -> void
{
    log::logEvent(storeRestored, { { "era", std::to_string(storeView.era()) } });
    configurationFeed.onStoreRestored(monotonicNow());
    registration.onStoreRestored();
    crashRegistry.onStoreRestored();
}

auto Sidecar::State::rateLimits() const -> dispatch::RateLimits
{
    return {
        .window = settings.rateLimitWindow, .overage = settings.rateLimitOverage, .slack = settings.rateLimitSlack
    };
}

auto Sidecar::State::handlePeer(const std::shared_ptr<http::Exchange>& exchange) -> void
{
    if (exchange->request().target == relay::rateLimitPath)
        rateLimitOwner.handle(exchange);
    else if (exchange->request().target == relay::borrowPath)
        handleRetryBudgetRequest(exchange);
    else if (exchange->request().target == relay::crashPath)
        crashRegistry.handle(exchange);
    else if (exchange->request().target == fleet::relayWatchPath)
        storeView.client().handle(exchange);
    else
        targetRelay.handle(exchange);
}

auto Sidecar::State::handleRetryBudgetRequest(const std::shared_ptr<http::Exchange>& exchange) -> void
{
    Error reason;
    const auto request = relay::decodeBorrowRequest(exchange->request().body, reason);
    const bool isGranted = request
        && retryBudget.tryAcquire(request->service, request->calls, dispatch::RetryBudget::RetryClass::Lent,
            entryContext.hostCount, monotonicNow());
    exchange->answer(
        http::makeAnswer(isGranted ? http::statusOk : http::statusTooManyRequests, "text/plain", reason.reason));
}

auto Sidecar::State::onOperatorRows(const std::vector<fleet::StoreRow>& rows, bool isSnapshot) -> void
{
    if (configurationFeed.apply(rows, isSnapshot, monotonicNow())) {
        const auto& configuration = entryContext.snapshot->configuration();
        callerServer.setOptions(callerOptions(settings, configuration.callerLimits));
        loadBalancer.setColdServices(coldServices(settings, configuration));
        // The target of a service that leaves the configuration may still be cold, so its bound stays.
        if (const auto bound = arrivalBound(settings, configuration, settings.service))
            targetRelay.setArrivalBound(*bound);
        else if (!targetRelay.isArrivalBoundKnown())
            targetRelay.setArrivalBound({});
    }
    targetRelay.onEvacuationsChanged();
    areOperatorRowsLoaded = true;
    startAcceptingIfLoaded();
    startPendingRequestsIfReady();
}

// Until then the target may have left, or its data centre may be evacuated.
auto Sidecar::State::startAcceptingIfLoaded() -> void
{
    if (areHostsLoaded && areOperatorRowsLoaded)
        targetRelay.startAccepting();
}

auto Sidecar::State::startPendingRequestsIfReady() -> void
{
    if (!entryContext.isReady && entryContext.snapshot && areHostsLoaded)
        entryContext.markReady();
}

auto Sidecar::State::onHostsChanged(const std::vector<Error>& faults) -> void
{
    const auto& directory = storeView.directory();
    for (const auto& fault : faults)
        log::logEvent(hostRecordRejected, { { "reason", fault.toText() } });
    if (!areHostsLoaded) {
        areHostsLoaded = true;
        registration.onHostsLoaded();
        startAcceptingIfLoaded();
    }
    loadBalancer.setTargets(directory.targets(), monotonicNow());
    if (!isStopping)
        registration.onHostsChanged();
    rowCleaner.onHostsChanged();
    crashRegistry.onHostsChanged();
    rateLimitOwner.setHosts(directory.rateLimitHostsInRegion(settings.locality.region), monotonicNow());
    entryContext.hostCount = std::max<std::size_t>(1, directory.size());
    log::logEvent(hostsChanged,
        { { "hosts", std::to_string(entryContext.hostCount) },
            { "targets", std::to_string(directory.targets().size()) } });
    startPendingRequestsIfReady();
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

// Responds with status 503 if the store hasn't confirmed the message, so that the target repeats it.
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
    rowCleaner.stop();
    stopStartedAt = monotonicNow();
    log::logEvent(stopStarted,
        { { "open", std::to_string(callerServer.openRequests()) },
            { "running", std::to_string(targetRelay.running()) } });
    callerServer.beginDrain();
    setOpenRequestDeadlines();
    registration.beginStop();
    pollStop();
}

// Caps the deadline of each open request, so that its caller gets a response with the actual outcome before
// the process ends, instead of a closed connection.
auto Sidecar::State::setOpenRequestDeadlines() -> void
{
    entryContext.shutdownDeadline = stopStartedAt + settings.stopGracePeriod - finalResponseMargin(settings);
    entryContext.callerPortClosesAt = stopStartedAt + callerDrainDelay;
    const auto requests = *entryContext.openRequests;
    for (const auto& [raw, weak] : requests) {
        if (const auto request = weak.lock())
            request->capDeadline(*entryContext.shutdownDeadline);
    }
}

auto Sidecar::State::pollStop() -> void
{
    const auto now = monotonicNow();
    const auto open = callerServer.openRequests() + targetRelay.running();
    if (now >= stopStartedAt + callerDrainDelay && !isCallerPortClosed) {
        isCallerPortClosed = true;
        callerServer.finishDrain();
    }
    if (now >= stopStartedAt + targetDrainDelay)
        targetRelay.stopAccepting();
    const bool isGraceOver = now >= stopStartedAt + settings.stopGracePeriod - finalResponseMargin(settings) / 2;
    if (open > 0)
        lastOpenRequestAt = now;
    // The last responses may still be in transit to their callers.
    const bool isDrained = isCallerPortClosed && now >= lastOpenRequestAt + responseDeliveryTime;
    if (isDrained || isGraceOver) {
        log::logEvent(stopEnded, { { "open", std::to_string(open) } });
        storeView.stop();
        registration.stop();
        io.stop();
        return;
    }
    if (isCallerPortClosed)
        callerServer.finishDrain();
    stopTimer.expires_after(stopPollPeriod);
    stopTimer.async_wait([this](const boost::system::error_code& error) {
        if (!error)
            pollStop();
    });
}

auto Sidecar::State::metricsPage() const -> std::string
{
    net::HttpServer::ReleaseCounters released;
    std::size_t bufferedBytes = 0;
    for (const auto* server : { &callerServer, &peerServer, &controlServer, &readinessServer, &metricsServer }) {
        released.requests += server->released().requests;
        released.unreadResponses += server->released().unreadResponses;
        released.idleConnections += server->released().idleConnections;
        bufferedBytes += server->bufferedBytes();
    }
    return renderMetricsPage({ .counters = entryContext.counters,
        .loadReport = targetRelay.loadReport(monotonicNow()),
        .configurationAge = storeView.operatorFreshness().age(SuspendAwareClock::now()),
        .configurationVersion = entryContext.snapshot ? entryContext.snapshot->configuration().version : 0,
        .evacuatedDataCentres = entryContext.evacuations.evacuated().size(),
        .evacuationAge = entryContext.evacuations.oldestAge(monotonicNow()),
        .hostCount = entryContext.hostCount,
        .callerConnections = callerServer.connections(),
        .openRequests = callerServer.openRequests(),
        .targetConnectionsOpened = targetRelay.targetConnectionsOpened(),
        .peerConnectionsOpened = peerClient.connectionsOpened(),
        .storeEra = storeView.era(),
        .rowsWrittenAgain
        = registration.rowsWrittenAgain() + rowCleaner.drainsWrittenAgain() + crashRegistry.marksWrittenAgain(),
        .released = released,
        .bufferedBytes = bufferedBytes,
        .lateResponses = targetRelay.lateResponses(),
        .isTargetCold = targetRelay.isTargetCold(monotonicNow()),
        .heldBack = targetRelay.heldBack(),
        .gaveWay = targetRelay.gaveWay(),
        .waitingAccounts = targetRelay.waitingAccounts() });
}

Sidecar::Sidecar(boost::asio::io_context& io, const HostSettings& settings, Adapter adapter, fleet::StoreClient& store)
    : m_state(std::make_unique<State>(io, settings, std::move(adapter), store))
{
}

Sidecar::~Sidecar() = default;

auto Sidecar::start(Error& reason) -> bool { return m_state->start(reason); }

auto Sidecar::stop() -> void { m_state->stop(); }

} // namespace coriandergate::sidecar
