#include "daemon/CorePlugin.h"

#include "daemon/AdminRouter.h"
#include "daemon/DrainState.h"
#include "daemon/PeerRouter.h"
#include "daemon/Readiness.h"
#include "http/WorkerPool.h"
#include "kernel/Kernel.h"
#include "kernel/PluginRegistration.h"
#include "log/Event.h"
#include "member/TargetRegistry.h"
#include "proxy/ProxyContext.h"
#include "proxy/SnapshotHolder.h"
#include "settings/SettingDefinition.h"
#include "settings/Settings.h"
#include "status/ServiceOutcomeTable.h"

#include <QTimer>
#include <prometheus/registry.h>
#include <sodium.h>

namespace coriandergate::daemon {

namespace {

    using settings::AddressKind;
    using settings::DurationKind;
    using settings::IntegerKind;
    using settings::SettingRegistration;
    using settings::TextKind;

    const SettingRegistration peerListen { { "peer-listen", AddressKind {}, "127.0.0.1:7101",
        "address for other daemons; must be theirs to reach and nobody else's" } };
    const SettingRegistration peerAddress { { "peer-address", AddressKind { true }, "",
        "peer address that others are told, where it isn't peer-listen itself" } };
    const SettingRegistration workerCount { { "workers", IntegerKind { 1, 64 }, "2", "threads that serve requests" } };
    const SettingRegistration region { { "region", TextKind { false }, "region-1", "region of this host" } };
    const SettingRegistration dataCentre { { "data-centre", TextKind { false }, "dc-1", "data centre of this host" } };
    const SettingRegistration targetTtl { { "target-ttl-ms", DurationKind { 500, 60000 }, "3000",
        "a target that doesn't renew its announcement for so long is forgotten" } };
    const SettingRegistration connectTimeout { { "connect-timeout-ms", DurationKind { 10, 60000 }, "1000",
        "for a connection to a target or another daemon" } };

    constexpr std::chrono::milliseconds expiryPeriod { 250 };

    const kernel::PluginRegistration registration { "core", 10, [] { return std::make_unique<CorePlugin>(); } };

    auto drawIncarnation() -> std::uint64_t
    {
        std::uint64_t incarnation = 0;
        randombytes_buf(&incarnation, sizeof incarnation);
        return incarnation;
    }

} // namespace

CorePlugin::CorePlugin() = default;
CorePlugin::~CorePlugin() = default;

auto CorePlugin::start(kernel::Kernel& kernel, Error& reason) -> bool
{
    if (sodium_init() < 0) {
        reason = { "start", "libsodium", "it can't be initialised" };
        return false;
    }
    const auto settings = kernel.find<settings::Settings>();
    const auto threads = static_cast<std::size_t>(settings->integer("workers"));
    m_workers = std::make_shared<http::WorkerPool>(http::WorkerPool::Options { threads });
    m_targets = std::make_shared<member::TargetRegistry>(
        member::TargetRegistry::Options { .timeToLive = settings->duration("target-ttl-ms") });
    const auto holder = std::make_shared<proxy::SnapshotHolder>();

    m_context = std::make_shared<proxy::ProxyContext>();
    m_context->workers = m_workers;
    m_context->clients.resize(threads);
    for (std::size_t i = 0; i < threads; ++i) {
        m_workers->runAndWait(i, [this, i, &settings] {
            m_context->clients[i] = std::make_unique<http::Client>(
                http::Client::Options { .connectTimeout = settings->duration("connect-timeout-ms") });
        });
    }
    m_context->snapshot = [holder] { return holder->current(); };
    m_context->targets = m_targets;
    m_context->serviceBoard = std::make_shared<status::ServiceOutcomeTable>();
    const auto& toldAddress = settings->text("peer-address");
    m_context->self = { toldAddress.empty() ? settings->text("peer-listen") : toldAddress, drawIncarnation() };
    m_context->locality = { settings->text("region"), settings->text("data-centre") };

    kernel.provide(m_workers);
    kernel.provide(m_targets);
    kernel.provide(holder);
    kernel.provide(m_context);
    kernel.provide(std::make_shared<AdminRouter>());
    kernel.provide(std::make_shared<PeerRouter>());
    kernel.provide(std::make_shared<DrainState>());
    kernel.provide(std::make_shared<Readiness>());
    kernel.provide(std::make_shared<prometheus::Registry>());

    m_expiry = std::make_unique<QTimer>();
    QObject::connect(m_expiry.get(), &QTimer::timeout, m_expiry.get(), [this] { m_targets->expire(monotonicNow()); });
    m_expiry->start(expiryPeriod);
    return true;
}

auto CorePlugin::stop() -> void
{
    m_expiry.reset();
    for (std::size_t i = 0; i < m_workers->size(); ++i)
        m_workers->runAndWait(i, [this, i] { m_context->clients[i].reset(); });
}

} // namespace coriandergate::daemon
