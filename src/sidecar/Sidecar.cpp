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
#include "relay/OwnerRelay.h"
#include "relay/RateHome.h"
#include "sidecar/MetricsPage.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>

namespace coriandergate::sidecar {

using std::chrono::milliseconds;

namespace {

    const log::Event started { 1920, log::Severity::Info, "sidecar started", "the ports that it listens on" };
    const log::Event stopBegan { 1921, log::Severity::Info, "planned stop began", "no new work is taken" };
    const log::Event stopEnded { 1922, log::Severity::Info, "planned stop ended",
        "requests that are still open were cut; more than none means that the grace was too short for them" };
    const log::Event configurationTaken { 1923, log::Severity::Info, "configuration in force", "its version" };
    const log::Event configurationRefused { 1924, log::Severity::Error, "configuration refused",
        "the last good one stays in force; the reason names the field" };
    const log::Event storeLost { 1925, log::Severity::Warning, "store lost",
        "requests with keys are refused once the newest answer is too old" };
    const log::Event storeRegained { 1926, log::Severity::Info, "store regained", "nothing" };
    const log::Event controlCallRefused { 1928, log::Severity::Warning, "control call refused",
        "something that isn't the target of this host calls its address" };
    const log::Event hostsChanged { 1929, log::Severity::Info, "hosts changed", "how many hosts share every limit" };
    const log::Event hostRecordRefused { 1930, log::Severity::Warning, "host record refused",
        "the row is left aside; the reason names what can't be read" };

    const log::Event limitsChanged { 1933, log::Severity::Info, "limits of a client account changed",
        "its rate a second and its burst over all hosts; 0 stands for no limit" };

    const log::Event hostGone { 1935, log::Severity::Warning, "host taken for gone",
        "its daemon was not reached for a quarter of a minute; its row is removed, and written again if it lives" };

    constexpr const char* hostTable = "hosts";
    // One long poll for the configuration: half of the time for which a withdrawn key may still work.
    constexpr milliseconds configurationWait { 2600 };
    // One long poll for the hosts, whose changes are told as they come.
    constexpr milliseconds hostsWait { 15000 };
    // Rows of hosts change several at a time, and for seconds when many hosts start or leave.
    constexpr milliseconds hostsSettle { 300 };
    constexpr milliseconds longestHostsSettle { 600 };
    // Part of the revocation bound for which an answer of the store counts as news; the rest covers the way of a
    // request.
    constexpr double freshPart = 0.88;
    // The platform asks every second whether callers may come, and believes the second refusal.
    constexpr milliseconds callersLeaveAfter { 2300 };
    // The target goes on while its daemon is started again. Requests that come until then mostly end before the callers
    // have left, so that hosts which are restarted in turn are missing for less time.
    constexpr milliseconds targetServesAfterStop { 1200 };
    // A daemon that was never reached for so long, while it was tried, counts as gone: longer than restarts and pauses.
    constexpr milliseconds goneAfter { 15000 };
    constexpr milliseconds goneHostsPeriod { 8000 };
    constexpr milliseconds stopPollPeriod { 40 };
    constexpr milliseconds answerTravelTime { 120 };
    constexpr milliseconds stopMargin { 400 }; // before the process is killed
    constexpr milliseconds finalAnswerMargin { 800 }; // before that, for requests that outlast the grace

    auto freshness(const HostSettings& settings) -> milliseconds
    {
        return std::chrono::duration_cast<milliseconds>(settings.revocationBound * freshPart);
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

    auto record(dispatch::FreshnessProof& proof, const fleet::StoreResponse& answer) -> void
    {
        if (answer.isRelayed)
            proof.recordPassedOn(answer.storeTime);
        else
            proof.recordAnswer(answer.sentAt, answer.receivedAt, answer.storeTime);
    }

    auto callerOptions(const HostSettings& settings, const config::CallerLimits& limits) -> net::HttpServer::Options
    {
        constexpr std::size_t bytesPerMegabyte = 1024 * 1024;
        constexpr std::size_t bufferPart = 4; // a quarter of the memory may hold requests
        constexpr std::size_t connectionPart = 2; // half of the descriptors may serve callers
        net::HttpServer::Options options;
        options.maximumHeaderBytes = limits.maximumHeaderBytes;
        options.maximumBodyBytes = limits.maximumBodyBytes;
        options.headerTimeout = limits.headerTimeout;
        options.idleTimeout = limits.idleTimeout;
        options.maximumBufferedBytes = settings.memoryMegabytes * bytesPerMegabyte / bufferPart;
        options.maximumConnections = settings.fileDescriptors / connectionPart;
        return options;
    }

} // namespace

struct Sidecar::State {
    State(boost::asio::io_context& ioContext, const HostSettings& hostSettings, Adapter platformAdapter,
        fleet::StoreClient& store);

    auto start(Error& reason) -> bool;
    auto stop() -> void;
    auto endOpenRequestsInTime() -> void;
    auto pollStop() -> void;
    auto isReady() const -> bool;
    auto handleControl(const std::shared_ptr<http::Exchange>& exchange) -> void;
    auto receive(const fleet::Heartbeat& heartbeat, const std::shared_ptr<http::Exchange>& exchange) -> void;
    auto receive(const fleet::Deregistration& farewell, const std::shared_ptr<http::Exchange>& exchange) -> void;
    [[nodiscard]] static auto answerControl(const std::shared_ptr<http::Exchange>& exchange)
        -> fleet::HostRegistration::Acknowledge;
    auto watchForGoneHosts() -> void;
    auto removeGoneHosts() -> void;
    auto onConfigurationRows(const std::vector<fleet::StoreRow>& rows) -> void;
    auto onHostRows(const std::vector<fleet::StoreRow>& rows, bool isSnapshot) -> void;
    auto onHostsLoaded() -> void;
    auto informIfKnown() -> void;
    auto onStoreAnswer(const fleet::StoreResponse& answer) -> void;
    auto onHostsAnswer(const fleet::StoreResponse& answer) -> void;
    auto onStoreFailure(const Error& error) -> void;
    auto handlePeer(const std::shared_ptr<http::Exchange>& exchange) -> void;
    auto lendAttempt(const std::shared_ptr<http::Exchange>& exchange) -> void;
    auto rateLimits() const -> dispatch::RateLimits;
    auto metricsPage() const -> std::string;

    boost::asio::io_context& io;
    HostSettings settings;
    Adapter adapter;
    fleet::LocalTarget target;
    fleet::HostDirectory directory;
    net::HttpClient hops;
    fleet::RelayedStoreClient storeClient;
    fleet::HostRegistration registration;
    fleet::TableWatcher configurationWatcher;
    fleet::TableWatcher hostWatcher;
    dispatch::FreshnessProof proof; // of the configuration
    dispatch::FreshnessProof hostsProof; // of the list of hosts
    dispatch::TargetBoard board;
    dispatch::AttemptBudget attempts;
    dispatch::CallRatio calls;
    relay::EntryContext entry;
    relay::RateHome rateHome;
    relay::OwnerRelay owner;
    net::HttpServer callers;
    net::HttpServer peers;
    net::HttpServer control;
    net::HttpServer readiness;
    net::HttpServer metrics;
    boost::asio::steady_timer stopTimer;
    boost::asio::steady_timer goneHostsTimer;
    MonotonicTime stopBeganAt;
    MonotonicTime lastOpenAt; // something was open
    bool isStopping = false;
    bool isDraining = false;
    bool knowsHosts = false;
    bool hasStore = false;
};

Sidecar::State::State(boost::asio::io_context& ioContext, const HostSettings& hostSettings, Adapter platformAdapter,
    fleet::StoreClient& store)
    : io(ioContext)
    , settings(hostSettings)
    , adapter(std::move(platformAdapter))
    , target(settings.service, settings.targetAddress)
    , hops(io, { .connectTimeout = milliseconds(400), .idleTimeout = milliseconds(30000), .maximumIdlePerPeer = 4 })
    , storeClient(io, store, hops, { .self = settings.hostAddress, .freshnessTable = adapter.operatorTable })
    , registration(io, storeClient, target, directory,
          { .table = hostTable,
              .key = settings.hostAddress,
              .host = { .peerAddress = settings.peerAddress.empty() ? settings.peerListenAddress : settings.peerAddress,
                  .locality = settings.locality,
                  .service = settings.service } })
    , configurationWatcher(io, storeClient, { .table = adapter.operatorTable, .wait = configurationWait })
    , hostWatcher(io, storeClient,
          { .table = hostTable,
              .wait = hostsWait,
              .changeDelay = hostsSettle,
              .maximumChangeDelay = longestHostsSettle })
    , proof({ .maximumAge = freshness(settings) })
    , hostsProof({ .maximumAge = freshness(settings) })
    , board({ .here = settings.locality })
    , attempts({ .ratio = settings.retryBudgetRatio,
          .allowance = settings.retryBudgetAllowance,
          .window = settings.retryBudgetWindow })
    , entry { .io = io,
        .options = {},
        .headers = adapter.headers,
        .self = settings.hostAddress,
        .service = settings.service,
        .here = settings.locality,
        .hops = hops,
        .board = board,
        .attempts = attempts,
        .calls = calls,
        .proof = proof,
        .hostsProof = hostsProof,
        .directory = directory,
        .snapshot = nullptr }
    , rateHome(entry,
          { .limits = rateLimits(),
              .part = 1 / static_cast<double>(settings.regionCount * dispatch::rateHomesOfRegion) },
          monotonicNow())
    , owner(io, target, calls, { .headers = adapter.headers })
    , callers(io, callerOptions(settings, {}),
          [this](std::shared_ptr<http::Exchange> exchange) { relay::EntryRequest::start(entry, std::move(exchange)); })
    , peers(io,
          { .maximumBodyBytes = settings.memoryMegabytes * 1024 * 1024 / 8,
              .idleTimeout = milliseconds(60000),
              .maximumConnections = settings.fileDescriptors / 3 },
          [this](std::shared_ptr<http::Exchange> exchange) { handlePeer(exchange); })
    , control(io, {}, [this](std::shared_ptr<http::Exchange> exchange) { handleControl(exchange); })
    , readiness(io, {},
          [this](std::shared_ptr<http::Exchange> exchange) {
              const bool isAsked = exchange->request().target == adapter.readinessPath;
              exchange->answer(http::makeAnswer(!isAsked ? http::statusNotFound
                      : isReady()                        ? http::statusOk
                                                         : http::statusUnavailable,
                  "text/plain", ""));
          })
    , metrics(io, {},
          [this](std::shared_ptr<http::Exchange> exchange) {
              exchange->answer(http::makeAnswer(http::statusOk, "text/plain; version=0.0.4", metricsPage()));
          })
    , stopTimer(io)
    , goneHostsTimer(io)
{
}

auto Sidecar::State::start(Error& reason) -> bool
{
    peers.onConnectionClosed([this](const std::string& connection) { owner.dropConnection(connection); });
    const auto storeTime = [this] { return proof.storeTime(SuspendAwareClock::now()); };
    owner.setStoreTime(storeTime);
    storeClient.setStoreClock(storeTime);
    registration.setStoreClock([this] { return hostsProof.storeTime(SuspendAwareClock::now()); });
    registration.onTargetChanged([this] { owner.onTargetChanged(); });
    if (!callers.listen(settings.callerListenAddress, reason) || !peers.listen(settings.peerListenAddress, reason)
        || !control.listen(settings.controlListenAddress, reason)
        || !readiness.listen(settings.readinessListenAddress, reason))
        return false;
    if (!settings.metricsListenAddress.empty() && !metrics.listen(settings.metricsListenAddress, reason))
        return false;
    configurationWatcher.onRows([this](const auto& rows, bool) { onConfigurationRows(rows); });
    configurationWatcher.onResponse([this](const fleet::StoreResponse& answer) { onStoreAnswer(answer); });
    configurationWatcher.onFailure([this](const Error& error) { onStoreFailure(error); });
    hostWatcher.onResponse([this](const fleet::StoreResponse& answer) { onHostsAnswer(answer); });
    hostWatcher.onRows([this](const auto& rows, bool isSnapshot) { onHostRows(rows, isSnapshot); });
    configurationWatcher.start();
    hostWatcher.start();
    watchForGoneHosts();
    log::logEvent(started,
        { { "host", settings.hostName }, { "callers", settings.callerListenAddress },
            { "peers", settings.peerListenAddress }, { "control", settings.controlListenAddress },
            { "ready", settings.readinessListenAddress }, { "metrics", settings.metricsListenAddress },
            { "service", settings.service }, { "version", CORIANDERGATE_VERSION } });
    return true;
}

auto Sidecar::State::isReady() const -> bool
{
    return !isStopping && entry.snapshot && knowsHosts && proof.isFresh(SuspendAwareClock::now());
}

auto Sidecar::State::onStoreAnswer(const fleet::StoreResponse& answer) -> void
{
    record(proof, answer);
    if (!hasStore)
        log::logEvent(storeRegained, {});
    hasStore = true;
    if (!knowsHosts)
        return;
    if (fleet::provesUnchanged(hostWatcher.observedVersion(), answer)) {
        hostWatcher.advanceTo(answer.newestVersion);
        record(hostsProof, answer);
        return;
    }
    if (fleet::isCatchUpDue(
            hostWatcher.observedVersion(), answer.newestVersion, hostsProof.age(SuspendAwareClock::now())))
        hostWatcher.catchUp();
}

// After the store was away the hosts' news comes first when hosts changed meanwhile, and requests with keys wait for
// that of the configuration.
auto Sidecar::State::onHostsAnswer(const fleet::StoreResponse& answer) -> void
{
    record(hostsProof, answer);
    if (!entry.snapshot || !fleet::provesUnchanged(configurationWatcher.observedVersion(), answer))
        return;
    configurationWatcher.advanceTo(answer.newestVersion);
    record(proof, answer);
}

auto Sidecar::State::onStoreFailure(const Error& error) -> void
{
    if (!hasStore)
        return;
    hasStore = false;
    const auto age = proof.age(SuspendAwareClock::now());
    log::logEvent(
        storeLost, { { "why", error.toText() }, { "proof-age-ms", age ? std::to_string(age->count()) : "" } });
}

auto Sidecar::State::rateLimits() const -> dispatch::RateLimits
{
    return { .window = settings.rateWindow, .overage = settings.rateOverage, .slack = settings.rateSlack };
}

auto Sidecar::State::handlePeer(const std::shared_ptr<http::Exchange>& exchange) -> void
{
    if (exchange->request().target == relay::ratePath)
        rateHome.answer(exchange);
    else if (exchange->request().target == relay::attemptPath)
        lendAttempt(exchange);
    else if (exchange->request().target == fleet::relayWatchPath)
        storeClient.handle(exchange);
    else
        owner.handle(exchange);
}

auto Sidecar::State::lendAttempt(const std::shared_ptr<http::Exchange>& exchange) -> void
{
    Error reason;
    const auto ask = relay::decodeAttempt(exchange->request().body, reason);
    const bool isLent = ask
        && attempts.take(ask->service, ask->calls, dispatch::AttemptBudget::Claim::Lent, entry.hosts, monotonicNow());
    exchange->answer(
        http::makeAnswer(isLent ? http::statusOk : http::statusTooManyRequests, "text/plain", reason.reason));
}

auto Sidecar::State::onConfigurationRows(const std::vector<fleet::StoreRow>& rows) -> void
{
    for (const auto& row : rows) {
        if (row.key != adapter.configurationKey || row.isRemoved)
            continue;
        Error reason;
        auto configuration = adapter.decodeConfiguration(row.value, reason);
        if (!configuration) {
            log::logEvent(configurationRefused, { { "reason", reason.toText() } });
            continue;
        }
        // An answer that was overtaken must not bring an older version back.
        if (entry.snapshot && configuration->version <= entry.snapshot->configuration().version)
            continue;
        if (entry.snapshot)
            logChangedLimits(*entry.snapshot, *configuration);
        entry.snapshot = std::make_shared<const relay::PolicySnapshot>(std::move(*configuration));
        const auto& taken = entry.snapshot->configuration();
        callers.setOptions(callerOptions(settings, taken.callerLimits));
        log::logEvent(configurationTaken,
            { { "version", std::to_string(taken.version) }, { "routes", std::to_string(taken.routes.size()) },
                { "accounts", std::to_string(taken.clientAccounts.size()) },
                { "row-version", std::to_string(row.version) } });
    }
    informIfKnown();
}

auto Sidecar::State::informIfKnown() -> void
{
    if (!entry.isInformed && entry.snapshot && knowsHosts)
        entry.inform();
}

auto Sidecar::State::onHostRows(const std::vector<fleet::StoreRow>& rows, bool isSnapshot) -> void
{
    for (const auto& fault : directory.apply(rows, isSnapshot))
        log::logEvent(hostRecordRefused, { { "reason", fault.toText() } });
    if (!knowsHosts)
        onHostsLoaded();
    board.setTargets(directory.targets());
    storeClient.setHosts(directory, settings.locality);
    if (!isStopping)
        registration.onHostsChanged();
    rateHome.setHosts(directory.rateHostsInRegion(settings.locality.region), monotonicNow());
    entry.hosts = std::max<std::size_t>(1, directory.size());
    log::logEvent(hostsChanged,
        { { "hosts", std::to_string(entry.hosts) }, { "targets", std::to_string(directory.targets().size()) } });
    informIfKnown();
}

auto Sidecar::State::onHostsLoaded() -> void
{
    knowsHosts = true;
    registration.onHostsLoaded();
    owner.open();
}

auto Sidecar::State::watchForGoneHosts() -> void
{
    // Hosts look at different times, so that mostly one of them finds a row to remove.
    std::uniform_int_distribution<milliseconds::rep> period(goneHostsPeriod.count(), 2 * goneHostsPeriod.count());
    goneHostsTimer.expires_after(milliseconds(period(entry.random)));
    goneHostsTimer.async_wait([this](const boost::system::error_code& error) {
        if (error || isStopping)
            return;
        removeGoneHosts();
        watchForGoneHosts();
    });
}

// A host that died without a word keeps its part of what all hosts share. One that lives writes its row again.
auto Sidecar::State::removeGoneHosts() -> void
{
    const auto now = monotonicNow();
    for (const auto& host : directory.hostsInDataCentre(settings.locality)) {
        const bool isGone = board.isUnreachedFor(directory.find(host)->peerAddress, goneAfter, now);
        if (!isGone || host == settings.hostAddress)
            continue;
        log::logEvent(hostGone, { { "host", host }, { "row-version", std::to_string(directory.version(host)) } });
        storeClient.write(
            { hostTable, host, directory.version(host), std::nullopt }, [](const fleet::StoreClient::Result&) {
                // Where the row has changed meanwhile, or the store is away, it stays; the next look decides anew.
            });
    }
}

auto Sidecar::State::handleControl(const std::shared_ptr<http::Exchange>& exchange) -> void
{
    Error reason;
    const auto call = adapter.decodeControlCall(exchange->request(), reason);
    if (!call) {
        log::logEvent(controlCallRefused, { { "reason", reason.toText() } });
        exchange->answer(http::makeAnswer(http::statusBadRequest, "text/plain", reason.toText()));
        return;
    }
    std::visit([&](const auto& message) { receive(message, exchange); }, *call);
}

// What isn't kept has to be told again.
auto Sidecar::State::answerControl(const std::shared_ptr<http::Exchange>& exchange)
    -> fleet::HostRegistration::Acknowledge
{
    return [exchange](bool isStored) {
        exchange->answer(isStored ? http::makeAnswer(http::statusOk, "application/json", "{}")
                                  : http::makeAnswer(http::statusUnavailable, "text/plain", "not kept yet"));
    };
}

auto Sidecar::State::receive(const fleet::Heartbeat& heartbeat, const std::shared_ptr<http::Exchange>& exchange) -> void
{
    Error reason;
    if (registration.receive(heartbeat, answerControl(exchange), reason))
        return;
    log::logEvent(controlCallRefused, { { "reason", reason.toText() } });
    exchange->answer(http::makeAnswer(http::statusBadRequest, "text/plain", reason.toText()));
}

auto Sidecar::State::receive(const fleet::Deregistration& farewell, const std::shared_ptr<http::Exchange>& exchange)
    -> void
{
    registration.receive(farewell, answerControl(exchange));
}

auto Sidecar::State::stop() -> void
{
    if (isStopping)
        return;
    isStopping = true;
    stopBeganAt = monotonicNow();
    log::logEvent(stopBegan,
        { { "open", std::to_string(callers.openRequests()) }, { "running", std::to_string(owner.running()) } });
    callers.beginDrain();
    endOpenRequestsInTime();
    // Another's target stays while its daemon is started again.
    registration.removeRowIfDraining();
    pollStop();
}

// A request that outlasts the grace gets a true final answer before the process ends, instead of a closed connection.
auto Sidecar::State::endOpenRequestsInTime() -> void
{
    entry.endBy = stopBeganAt + settings.stopGracePeriod - finalAnswerMargin;
    const auto requests = entry.open;
    for (const auto& [raw, weak] : requests) {
        if (const auto request = weak.lock())
            request->endBy(*entry.endBy);
    }
}

auto Sidecar::State::pollStop() -> void
{
    const auto now = monotonicNow();
    const auto open = callers.openRequests() + owner.running();
    if (now >= stopBeganAt + callersLeaveAfter && !isDraining) {
        isDraining = true;
        callers.finishDrain();
    }
    if (now >= stopBeganAt + targetServesAfterStop)
        owner.setStopping();
    const bool isOver = now >= stopBeganAt + settings.stopGracePeriod - stopMargin;
    if (open > 0)
        lastOpenAt = now;
    // Answers that were written last are still on their way to their callers.
    const bool isEmpty = isDraining && now >= lastOpenAt + answerTravelTime;
    if (isEmpty || isOver) {
        log::logEvent(stopEnded, { { "open", std::to_string(open) } });
        configurationWatcher.stop();
        hostWatcher.stop();
        registration.stop();
        io.stop();
        return;
    }
    if (isDraining)
        callers.finishDrain();
    stopTimer.expires_after(stopPollPeriod);
    stopTimer.async_wait([this](const boost::system::error_code& error) {
        if (!error)
            pollStop();
    });
}

auto Sidecar::State::metricsPage() const -> std::string
{
    return makeMetricsPage({ .counters = entry.counters,
        .news = owner.news(monotonicNow()),
        .proofAge = proof.age(SuspendAwareClock::now()),
        .version = entry.snapshot ? entry.snapshot->configuration().version : 0,
        .hosts = entry.hosts,
        .callerConnections = callers.connections(),
        .openRequests = callers.openRequests(),
        .targetConnections = owner.targetConnections(),
        .hopConnections = hops.connectionsOpened() });
}

Sidecar::Sidecar(boost::asio::io_context& io, const HostSettings& settings, Adapter adapter, fleet::StoreClient& store)
    : m_state(std::make_unique<State>(io, settings, std::move(adapter), store))
{
}

Sidecar::~Sidecar() = default;

auto Sidecar::start(Error& reason) -> bool { return m_state->start(reason); }

auto Sidecar::stop() -> void { m_state->stop(); }

} // namespace coriandergate::sidecar
