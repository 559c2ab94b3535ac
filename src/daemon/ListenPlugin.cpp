#include "daemon/ListenPlugin.h"

#include "daemon/AdminRouter.h"
#include "daemon/DrainState.h"
#include "daemon/PeerRouter.h"
#include "daemon/ReleaseMetrics.h"
#include "daemon/StatusPage.h"
#include "http/Exchange.h"
#include "http/Server.h"
#include "kernel/Kernel.h"
#include "kernel/PluginRegistration.h"
#include "log/Event.h"
#include "proxy/EntryRequest.h"
#include "proxy/OwnerHandler.h"
#include "proxy/ProxyContext.h"
#include "proxy/ProxyHeaders.h"
#include "settings/SettingDefinition.h"
#include "settings/Settings.h"

#include <QCoreApplication>
#include <QThread>
#include <QTimer>
#include <prometheus/registry.h>

namespace coriandergate::daemon {

using std::chrono::milliseconds;

namespace {

    using settings::AddressKind;
    using settings::DurationKind;
    using settings::IntegerKind;
    using settings::SettingRegistration;

    const SettingRegistration listen { { "listen", AddressKind {}, "127.0.0.1:7100", "address for callers" } };
    const SettingRegistration adminListen { { "admin-listen", AddressKind {}, "127.0.0.1:7102",
        "address for operators and for the targets of this host" } };
    const SettingRegistration maximumConnections { { "maximum-connections", IntegerKind { 1, 1000000 }, "8192",
        "open connections of callers" } };
    const SettingRegistration maximumBodyBytes { { "maximum-body-bytes", IntegerKind { 0, 1 << 30 }, "8388608",
        "of one request; a route may allow less" } };
    const SettingRegistration maximumBufferedBytes { { "maximum-buffered-bytes", IntegerKind { 1 << 20, 1LL << 40 },
        "268435456",
        "bytes of requests and unread responses over all connections: half of them for callers, a quarter "
        "for peers, a quarter for operators" } };
    const SettingRegistration headerTimeout { { "header-timeout-ms", DurationKind { 10, 600000 }, "10000",
        "for a caller to send its header block" } };
    const SettingRegistration bodyTimeout { { "body-timeout-ms", DurationKind { 10, 600000 }, "30000",
        "for a caller to send its body" } };
    const SettingRegistration idleTimeout { { "idle-timeout-ms", DurationKind { 100, 3600000 }, "60000",
        "a caller's idle connection is closed after it" } };
    const SettingRegistration drainDelay { { "drain-delay-ms", DurationKind { 0, 60000 }, "2000",
        "at a planned stop, requests are still taken for so long, while health checks already fail" } };
    const SettingRegistration drainTimeout { { "drain-timeout-ms", DurationKind { 0, 600000 }, "30000",
        "at a planned stop, requests under way get so long to end" } };

    const kernel::PluginRegistration registration { "listen", 900, [] { return std::make_unique<ListenPlugin>(); } };

    const log::Event listening { 1001, log::Severity::Info, "listening", "the daemon serves from now on" };
    const log::Event draining { 1002, log::Severity::Info, "draining", "a planned stop has begun" };
    const log::Event drained { 1003, log::Severity::Info, "drained", "every request under way has ended" };
    const log::Event drainCut { 1004, log::Severity::Error, "drain timed out",
        "requests were cut; raise drain-timeout-ms above the longest deadline" };

    constexpr milliseconds drainPollPeriod { 10 };
    constexpr milliseconds metricsPeriod { 1000 };

    // Parts of maximum-buffered-bytes. None of the three ports can take what the others need.
    constexpr std::size_t callerBytesDivisor = 2;
    constexpr std::size_t peerBytesDivisor = 4;
    constexpr std::size_t operatorBytesDivisor = 4;

    auto toOptions(const std::string& address, const settings::Settings& settings, std::size_t bytesDivisor)
        -> http::Server::Options
    {
        http::Server::Options options;
        const auto colon = address.rfind(':');
        options.address = address.substr(0, colon);
        options.port = static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)));
        options.maximumConnections = static_cast<std::size_t>(settings.integer("maximum-connections"));
        options.maximumBodyBytes = static_cast<std::size_t>(settings.integer("maximum-body-bytes"));
        options.maximumBufferedBytes
            = static_cast<std::size_t>(settings.integer("maximum-buffered-bytes")) / bytesDivisor;
        options.headerTimeout = settings.duration("header-timeout-ms");
        options.bodyTimeout = settings.duration("body-timeout-ms");
        options.idleTimeout = settings.duration("idle-timeout-ms");
        return options;
    }

} // namespace

ListenPlugin::ListenPlugin() = default;
ListenPlugin::~ListenPlugin() = default;

auto ListenPlugin::start(kernel::Kernel& kernel, Error& reason) -> bool
{
    m_settings = kernel.find<settings::Settings>();
    m_drainState = kernel.find<DrainState>();
    const auto context = std::shared_ptr<const proxy::ProxyContext>(kernel.find<proxy::ProxyContext>());
    const auto router = std::shared_ptr<const AdminRouter>(kernel.find<AdminRouter>());
    const auto peerRouter = std::shared_ptr<const PeerRouter>(kernel.find<PeerRouter>());

    const auto statusPage = std::shared_ptr<const StatusPage>(kernel.find<StatusPage>());
    m_callers = std::make_unique<http::Server>(*context->workers,
        toOptions(m_settings->text("listen"), *m_settings, callerBytesDivisor),
        [context, statusPage](std::shared_ptr<http::Exchange> exchange) {
            if (statusPage->takes(exchange->request()))
                exchange->answer(statusPage->makePage(monotonicNow()));
            else
                proxy::EntryRequest::start(context, std::move(exchange));
        });
    auto peerOptions = toOptions(m_settings->text("peer-listen"), *m_settings, peerBytesDivisor);
    // A forwarded request carries the forward header beside the caller's own.
    peerOptions.maximumHeaderBytes *= 2;
    m_peers = std::make_unique<http::Server>(
        *context->workers, peerOptions, [context, peerRouter](std::shared_ptr<http::Exchange> exchange) {
            if (exchange->request().headers.find(proxy::headers::forward))
                proxy::handleForwarded(context, std::move(exchange));
            else
                peerRouter->handle(std::move(exchange));
        });
    m_admin = std::make_unique<http::Server>(*context->workers,
        toOptions(m_settings->text("admin-listen"), *m_settings, operatorBytesDivisor),
        [router](std::shared_ptr<http::Exchange> exchange) { router->handle(std::move(exchange)); });
    m_metrics = std::make_unique<ReleaseMetrics>(*kernel.find<prometheus::Registry>());
    m_metricsTimer = std::make_unique<QTimer>();
    QObject::connect(m_metricsTimer.get(), &QTimer::timeout, m_metricsTimer.get(), [this] { updateMetrics(); });
    m_metricsTimer->start(metricsPeriod);
    if (!m_callers->listen(reason) || !m_peers->listen(reason) || !m_admin->listen(reason))
        return false;
    log::logEvent(listening,
        { { "callers", std::to_string(m_callers->port()) }, { "peers", std::to_string(m_peers->port()) },
            { "admin", std::to_string(m_admin->port()) }, { "version", CORIANDERGATE_VERSION } });
    return true;
}

auto ListenPlugin::isBusy() const -> bool { return m_callers->busyConnections() > 0 || m_peers->busyConnections() > 0; }

auto ListenPlugin::updateMetrics() -> void
{
    m_metrics->update("callers", m_callers->released());
    m_metrics->update("peers", m_peers->released());
    m_metrics->update("operators", m_admin->released());
}

auto ListenPlugin::spinFor(milliseconds duration) -> void
{
    const auto end = monotonicNow() + duration;
    while (monotonicNow() < end) {
        QCoreApplication::processEvents(QEventLoop::AllEvents, static_cast<int>(drainPollPeriod.count()));
        QThread::usleep(std::chrono::microseconds(drainPollPeriod).count());
    }
}

auto ListenPlugin::stop() -> void
{
    m_drainState->beginDrain();
    log::logEvent(draining, {});
    m_callers->beginDrain();
    spinFor(m_settings->duration("drain-delay-ms"));
    m_callers->finishDrain();
    const auto end = monotonicNow() + m_settings->duration("drain-timeout-ms");
    while (isBusy() && monotonicNow() < end)
        spinFor(drainPollPeriod);
    log::logEvent(isBusy() ? drainCut : drained, {});
    m_peers->finishDrain();
    spinFor(drainPollPeriod);
    m_metricsTimer.reset();
    m_callers.reset();
    m_peers.reset();
    m_admin.reset();
}

} // namespace coriandergate::daemon
