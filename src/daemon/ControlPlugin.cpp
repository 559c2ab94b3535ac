#include "daemon/ControlPlugin.h"

#include "base/Error.h"
#include "base/Hash.h"
#include "config/ConfigurationKeeper.h"
#include "config/Snapshot.h"
#include "config/SnapshotCodec.h"
#include "control/ChangeStore.h"
#include "control/ConfigurationSync.h"
#include "control/MemberPeers.h"
#include "control/OperatorApi.h"
#include "control/SyncMessage.h"
#include "daemon/AdminRouter.h"
#include "daemon/PeerRouter.h"
#include "http/Exchange.h"
#include "http/WorkerPool.h"
#include "kernel/Kernel.h"
#include "kernel/PluginRegistration.h"
#include "log/Event.h"
#include "member/MemberProfile.h"
#include "member/PeerTable.h"
#include "member/TargetRegistry.h"
#include "proxy/ProxyContext.h"
#include "proxy/SnapshotHolder.h"
#include "settings/SettingDefinition.h"
#include "settings/Settings.h"
#include "store/MemoryStore.h"
#include "store/RemoteStore.h"

#include <QTimer>
#include <malloc.h>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <utility>

namespace coriandergate::daemon {

namespace {

    using settings::AddressKind;
    using settings::DurationKind;
    using settings::SettingRegistration;
    using settings::TextKind;

    const SettingRegistration storeAddress { { "store", AddressKind { true }, "",
        "the platform's table service and object store; empty: one in this process's memory, for a first try" } };
    const SettingRegistration storeTimeout { { "store-timeout-ms", DurationKind { 50, 60000 }, "2000",
        "for one row operation of the store" } };
    const SettingRegistration pollInterval { { "store-poll-ms", DurationKind { 100, 60000 }, "1000",
        "between two reads of the newest version by each of a data centre's three polling daemons" } };
    const SettingRegistration keyLimit { { "key-contact-limit-ms", DurationKind { 1000, 3600000 }, "4000",
        "without contact to the store or a peer for so long, requests with a key are refused" } };
    const SettingRegistration configurationLimit { { "configuration-contact-limit-ms", DurationKind { 1000, 604800000 },
        "3600000", "without contact to the store or a peer for so long, every request is refused" } };
    const SettingRegistration operators { { "operators", TextKind { true }, "",
        "who may use the operators' API: name:digest of a token, separated by commas; empty: nobody" } };
    const kernel::PluginRegistration registration { "control", 40, [] { return std::make_unique<ControlPlugin>(); } };

    const log::Event configurationTaken { 1501, log::Severity::Info, "configuration in force",
        "the version and its digest" };
    const log::Event pullFailed { 1502, log::Severity::Warning, "configuration not pulled",
        "the source and the reason; another source is tried" };
    const log::Event storeLost { 1503, log::Severity::Warning, "store not heard",
        "the platform's store; changes are not accepted until it is back" };
    const log::Event storeFound { 1504, log::Severity::Info, "store heard again", "nothing" };
    const log::Event contactLost { 1505, log::Severity::Error, "contact lost",
        "the daemon's network: it hears neither store nor peers, and refuses requests with keys" };
    const log::Event contactFound { 1506, log::Severity::Info, "contact regained",
        "requests with keys are served again" };
    const log::Event storeBehind { 1507, log::Severity::Error, "store has lost changes",
        "the store names an older version than the one in force; it was restored from a copy" };
    const log::Event operatorActed { 1510, log::Severity::Info, "operator acted", "who did what, and the result" };

    constexpr std::size_t syncWorker = 0;
    constexpr std::size_t apiWorker = 1;
    constexpr std::size_t workerCount = 2;
    constexpr std::chrono::milliseconds watchPeriod { 250 };
    constexpr std::chrono::milliseconds releaseDelay { 200 };
    constexpr std::chrono::seconds storeQuietLimit { 10 }; // for a daemon that polls

    auto addGauge(prometheus::Registry& registry, const char* name, const char* help) -> prometheus::Gauge*
    {
        return &prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
    }

    auto addCounter(prometheus::Registry& registry, const char* name, const char* help) -> prometheus::Counter*
    {
        return &prometheus::BuildCounter().Name(name).Help(help).Register(registry).Add({});
    }

    // Takes a counter of prometheus up to a total that is kept elsewhere.
    auto raise(prometheus::Counter& counter, std::uint64_t total) -> void
    {
        counter.Increment(static_cast<double>(total) - counter.Value());
    }

    // Work on a configuration of full size frees tens of megabytes in small pieces, which the allocator would keep.
    auto releaseFreeMemory() -> void { malloc_trim(0); }

    // countTargets() is every target that is known, of this host and of others.
    auto countTargets(const member::TargetRegistry& targets, const member::PeerTable& table,
        const std::string& dataCentre) -> control::KnownTargets
    {
        control::KnownTargets known;
        const auto add = [&known](const std::string& service, const std::string& place, bool isHealthy) {
            auto& count = known.byService[service][place];
            ++count.announced;
            count.healthy += isHealthy ? 1 : 0;
        };
        for (const auto& target : targets.snapshot(monotonicNow()).targets)
            add(target.announcement.service, dataCentre, target.state == member::TargetState::Serving);
        for (const auto& peer : table.current()->peers) {
            if (!peer.profile || peer.state == member::MemberState::Dead)
                continue;
            for (const auto& target : peer.profile->targets)
                add(target.service, peer.locality.dataCentre, peer.state == member::MemberState::Alive);
        }
        return known;
    }

} // namespace

struct ControlPlugin::Metrics {
    explicit Metrics(prometheus::Registry& registry)
        : version(addGauge(registry, "coriandergate_configuration_version", "Version of the configuration in force"))
        , contactAge(addGauge(registry, "coriandergate_configuration_contact_age_seconds",
              "Time since the store or a peer was last heard"))
        , freshness(addGauge(registry, "coriandergate_configuration_freshness",
              "0 none, 1 current, 2 keys refused, 3 everything refused"))
        , storeReads(addCounter(registry, "coriandergate_configuration_store_reads_total", "Reads of the store"))
        , asks(addCounter(registry, "coriandergate_configuration_asks_total", "Questions to peers"))
        , pulls(addCounter(registry, "coriandergate_configuration_pulls_total", "Pulls of deltas and snapshots"))
        , failedPulls(addCounter(registry, "coriandergate_configuration_failed_pulls_total", "Pulls without success"))
        , bytesSent(addCounter(registry, "coriandergate_configuration_sent_bytes_total", "Bytes sent to peers"))
        , bytesReceived(
              addCounter(registry, "coriandergate_configuration_received_bytes_total", "Bytes received from peers"))
    {
    }

    prometheus::Gauge* version;
    prometheus::Gauge* contactAge;
    prometheus::Gauge* freshness;
    prometheus::Counter* storeReads;
    prometheus::Counter* asks;
    prometheus::Counter* pulls;
    prometheus::Counter* failedPulls;
    prometheus::Counter* bytesSent;
    prometheus::Counter* bytesReceived;
};

ControlPlugin::ControlPlugin() = default;
ControlPlugin::~ControlPlugin() = default;

auto ControlPlugin::start(kernel::Kernel& kernel, Error& reason) -> bool
{
    const auto settings = kernel.find<settings::Settings>();
    const auto context = kernel.find<proxy::ProxyContext>();
    m_holder = kernel.find<proxy::SnapshotHolder>();
    m_workers = std::make_unique<http::WorkerPool>(http::WorkerPool::Options { workerCount });
    m_table = kernel.find<member::PeerTable>();
    m_peers = std::make_shared<control::MemberPeers>(m_table, context->locality.dataCentre);
    makeKeeper(*settings, context->self.address);
    if (!openStore(*settings, reason))
        return false;
    context->freshness = [keeper = m_keeper](MonotonicTime now) { return keeper->freshness(now); };
    kernel.provide(m_keeper);
    startSync(kernel);
    startMetrics(kernel);
    return startApi(kernel, reason);
}

auto ControlPlugin::makeKeeper(const settings::Settings& settings, const std::string& self) -> void
{
    config::KeeperOptions options;
    options.pollInterval = settings.duration("store-poll-ms");
    options.lonePollInterval = 2 * options.pollInterval;
    options.keyLimit = settings.duration("key-contact-limit-ms");
    options.configurationLimit = settings.duration("configuration-contact-limit-ms");
    const auto seed = hashOf(self, static_cast<std::uint64_t>(wallNow().time_since_epoch().count()));
    m_keeper = std::make_shared<config::ConfigurationKeeper>(self, options, seed);
}

auto ControlPlugin::openStore(const settings::Settings& settings, Error& reason) -> bool
{
    const auto& address = settings.text("store");
    if (address.empty()) {
        m_memoryStore = std::make_unique<store::MemoryStore>();
        m_syncChanges = std::make_shared<control::ChangeStore>(*m_memoryStore, *m_memoryStore);
        m_apiChanges = m_syncChanges;
        return seedMemoryStore(reason);
    }
    const store::RemoteStore::Options options { .timeout = settings.duration("store-timeout-ms") };
    m_syncStore = std::make_unique<store::RemoteStore>(*m_workers, syncWorker, address, options);
    m_apiStore = std::make_unique<store::RemoteStore>(*m_workers, apiWorker, address, options);
    m_syncChanges = std::make_shared<control::ChangeStore>(*m_syncStore, *m_syncStore);
    m_apiChanges = std::make_shared<control::ChangeStore>(*m_apiStore, *m_apiStore);
    return true;
}

auto ControlPlugin::seedMemoryStore(Error& reason) -> bool
{
    const auto declared = m_holder->current();
    if (!declared)
        return true;
    const auto& configuration = *declared->configuration;
    control::PlanRequest request { "settings", "configuration at start", wallNow(),
        [&configuration](const config::Configuration&, Error&) { return std::optional(configuration); } };
    std::string planId;
    m_syncChanges->makePlan(std::move(request), nullptr, {}, [&planId](const control::PlanResult& result) {
        if (const auto* made = std::get_if<control::PlanMade>(&result))
            planId = made->record.id;
    });
    m_syncChanges->confirm(planId, "settings", wallNow(), [](const control::ConfirmResult&) {});
    return m_keeper->onSnapshot(config::encodeSnapshot(configuration), config::headOf(configuration), reason);
}

auto ControlPlugin::startSync(kernel::Kernel& kernel) -> void
{
    control::ConfigurationSync::Options options;
    options.self = kernel.find<proxy::ProxyContext>()->self.address;
    options.onTaken = [holder = m_holder, keeper = m_keeper, table = m_table] {
        const auto snapshot = keeper->current();
        holder->publish(snapshot);
        table->advertiseVersions(snapshot->configuration->version, 0);
        log::logEvent(configurationTaken, { { "head", keeper->head().toText() } });
        releaseFreeMemory();
    };
    options.onPullFailed = [](const std::string& source, const Error& reason) {
        log::logEvent(pullFailed, { { "source", source }, { "reason", reason.toText() } });
    };
    m_sync = std::make_shared<control::ConfigurationSync>(
        *m_workers, syncWorker, m_syncChanges, m_keeper, m_peers, options);
    const auto router = kernel.find<PeerRouter>();
    const auto requestWorkers = kernel.find<http::WorkerPool>();
    router->add("GET", std::string(control::headPath),
        [sync = m_sync](const std::shared_ptr<http::Exchange>& exchange) { sync->answerHead(exchange); });
    router->add("POST", std::string(control::announcePath),
        [sync = m_sync](const std::shared_ptr<http::Exchange>& exchange) { sync->answerAnnouncement(exchange); });
    router->add("POST", std::string(control::pullPath),
        [sync = m_sync, requestWorkers](
            const std::shared_ptr<http::Exchange>& exchange) { sync->answerPull(exchange, *requestWorkers); });
    m_sync->start();
}

auto ControlPlugin::startApi(kernel::Kernel& kernel, Error& reason) -> bool
{
    auto table = control::parseOperators(kernel.find<settings::Settings>()->text("operators"), reason);
    if (!table)
        return false;
    const auto context = kernel.find<proxy::ProxyContext>();
    control::OperatorApi::Options options;
    options.self = context->self.address;
    options.targets = [targets = context->targets, table = m_table, dataCentre = context->locality.dataCentre] {
        return countTargets(*targets, *table, dataCentre);
    };
    options.onAction
        = [workers = m_workers.get()](const std::string& name, const std::string& what, const std::string& result) {
              log::logEvent(operatorActed, { { "operator", name }, { "what", what }, { "result", result } });
              // Only once the answer is on its way is the memory free.
              workers->postAfter(apiWorker, releaseDelay, [] { releaseFreeMemory(); });
          };
    m_api = std::make_shared<control::OperatorApi>(
        *m_workers, apiWorker, *context->workers, m_apiChanges, m_keeper, m_peers, *std::move(table), options);
    m_api->start();
    const auto router = kernel.find<AdminRouter>();
    for (const auto* method : { "GET", "POST" })
        router->add(method, "/v1/",
            [api = m_api](std::shared_ptr<http::Exchange> exchange) { api->handle(std::move(exchange)); });
    return true;
}

auto ControlPlugin::startMetrics(kernel::Kernel& kernel) -> void
{
    m_metrics = std::make_unique<Metrics>(*kernel.find<prometheus::Registry>());
    m_watch = std::make_unique<QTimer>();
    QObject::connect(m_watch.get(), &QTimer::timeout, m_watch.get(), [this] { watch(); });
    m_watch->start(watchPeriod);
}

auto ControlPlugin::watch() -> void
{
    const auto now = monotonicNow();
    const auto freshness = m_keeper->freshness(now);
    const auto isFresh = freshness == config::Freshness::Current;
    if (m_keeper->head().version != 0 && isFresh != std::exchange(m_wasFresh, isFresh))
        log::logEvent(isFresh ? contactFound : contactLost, {});
    const auto storeAge = m_keeper->storeAge(now);
    const auto isStoreHeard = !storeAge || *storeAge < storeQuietLimit;
    if (isStoreHeard != std::exchange(m_wasStoreHeard, isStoreHeard))
        log::logEvent(isStoreHeard ? storeFound : storeLost, {});
    const auto isStoreBehind = m_keeper->isStoreBehind();
    if (isStoreBehind && !std::exchange(m_wasStoreBehind, isStoreBehind))
        log::logEvent(storeBehind, { { "head", m_keeper->head().toText() } });
    m_wasStoreBehind = isStoreBehind;

    const auto age = m_keeper->contactAge(now).value_or(MonotonicDuration::zero());
    m_metrics->version->Set(static_cast<double>(m_keeper->head().version));
    m_metrics->contactAge->Set(std::chrono::duration<double>(age).count());
    m_metrics->freshness->Set(static_cast<double>(freshness));
    const auto& counters = m_sync->counters();
    raise(*m_metrics->storeReads, counters.storeReads);
    raise(*m_metrics->asks, counters.asks);
    raise(*m_metrics->pulls, counters.pulls);
    raise(*m_metrics->failedPulls, counters.failedPulls);
    raise(*m_metrics->bytesSent, counters.bytesSent);
    raise(*m_metrics->bytesReceived, counters.bytesReceived);
}

auto ControlPlugin::stop() -> void
{
    m_watch.reset();
    m_api->stop();
    m_sync->stop();
    m_syncStore.reset();
    m_apiStore.reset();
}

} // namespace coriandergate::daemon
