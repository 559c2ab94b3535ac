#include "daemon/MemberPlugin.h"

#include "base/Error.h"
#include "config/Snapshot.h"
#include "daemon/DrainState.h"
#include "daemon/ExchangeInbox.h"
#include "kernel/Kernel.h"
#include "kernel/PluginRegistration.h"
#include "log/Event.h"
#include "member/GossipCodec.h"
#include "member/GossipNode.h"
#include "member/HostAddress.h"
#include "member/PeerTable.h"
#include "member/TargetRegistry.h"
#include "proxy/ProxyContext.h"
#include "proxy/SnapshotHolder.h"
#include "rpc/RpcClient.h"
#include "rpc/RpcRegistry.h"
#include "rpc/RpcTraffic.h"
#include "settings/SettingDefinition.h"
#include "settings/Settings.h"

#include <QHostAddress>
#include <QNetworkDatagram>
#include <QTimer>
#include <QUdpSocket>
#include <nlohmann/json.hpp>
#include <prometheus/registry.h>

namespace coriandergate::daemon {

using member::GossipEnvelope;
using member::GossipNode;
using member::MemberState;
using std::chrono::milliseconds;

namespace {

    using settings::AddressKind;
    using settings::AddressListKind;
    using settings::DurationKind;
    using settings::SettingRegistration;

    const SettingRegistration peers { { "peers", AddressListKind {}, "",
        "peer addresses of some other daemons, to learn of the rest from" } };
    const SettingRegistration suspicionTimeout { { "suspicion-timeout-ms", DurationKind { 500, 60000 }, "4000",
        "a daemon that answers no probe has so long to speak up before it is taken for dead" } };

    const kernel::PluginRegistration registration { "member", 30, [] { return std::make_unique<MemberPlugin>(); } };

    const log::Event daemonFound { 1301, log::Severity::Info, "daemon alive",
        "another daemon is there, or there again" };
    const log::Event daemonSuspect { 1302, log::Severity::Info, "daemon suspect",
        "it answers no probe; many at once speak for the network" };
    const log::Event daemonLeaving { 1303, log::Severity::Info, "daemon leaving",
        "its planned stop; it gets nothing new" };
    const log::Event daemonDead { 1304, log::Severity::Warning, "daemon dead",
        "its host, and the path to it; its targets get nothing from here" };
    const log::Event manyChanged { 1305, log::Severity::Warning, "many daemons changed state",
        "the network between data centres and regions" };
    const log::Event isolated { 1306, log::Severity::Warning, "no daemon is heard",
        "this host's network; what is known of others grows old" };
    const log::Event heardAgain { 1307, log::Severity::Info, "daemons are heard again", "nothing" };

    constexpr milliseconds publishInterval { 300 };
    constexpr milliseconds metricsInterval { 1000 };
    constexpr milliseconds exchangeTimeout { 3000 };
    constexpr std::size_t maximumLoggedChanges = 20; // at once; more are counted
    constexpr std::uint64_t datagramOverhead = 28; // bytes of the headers of IP and UDP
    constexpr qint64 maximumDatagramBytes = 1500;
    constexpr auto exchangeMethod = "member.exchange";

    auto encodeForCall(const member::GossipMessage& message) -> nlohmann::json
    {
        const auto bytes = member::encodeGossip(message);
        const QByteArray view(reinterpret_cast<const char*>(bytes.data()), static_cast<qsizetype>(bytes.size()));
        return { { "message", view.toBase64().toStdString() } };
    }

    auto decodeFromCall(const nlohmann::json& call, Error& reason) -> std::optional<member::GossipMessage>
    {
        if (!call.is_object() || !call.contains("message") || !call["message"].is_string()) {
            reason = { "decode gossip", "", "a member 'message' is needed" };
            return std::nullopt;
        }
        const auto bytes = QByteArray::fromBase64(QByteArray::fromStdString(call["message"].get<std::string>()));
        return member::decodeGossip(
            { reinterpret_cast<const std::uint8_t*>(bytes.data()), static_cast<std::size_t>(bytes.size()) }, reason);
    }

    auto eventFor(MemberState state) -> const log::Event&
    {
        switch (state) {
        case MemberState::Alive:
            return daemonFound;
        case MemberState::Suspect:
            return daemonSuspect;
        case MemberState::Leaving:
            return daemonLeaving;
        case MemberState::Dead:
            break;
        }
        return daemonDead;
    }

    auto logChanges(const member::PeerSnapshot& before, const member::PeerSnapshot& after) -> void
    {
        std::vector<const member::Peer*> changed;
        for (const auto& peer : after.peers) {
            const auto* const known = before.find(peer.identity.address);
            if (known == nullptr || known->state != peer.state || known->identity != peer.identity)
                changed.push_back(&peer);
        }
        if (changed.size() > maximumLoggedChanges) {
            log::logEvent(manyChanged, { { "count", std::to_string(changed.size()) } });
            return;
        }
        for (const auto* const peer : changed)
            log::logEvent(eventFor(peer->state),
                { { "peer", peer->identity.address }, { "data-centre", peer->locality.dataCentre } });
    }

    auto nodeOptions(const settings::Settings& settings, const proxy::ProxyContext& context) -> GossipNode::Options
    {
        GossipNode::Options options;
        options.identity = context.self;
        options.locality = context.locality;
        options.seeds = settings.list("peers");
        const auto sinceEpoch = std::chrono::duration_cast<milliseconds>(wallNow().time_since_epoch());
        options.generation = static_cast<std::uint64_t>(sinceEpoch.count());
        options.randomSeed = context.self.incarnation;
        options.suspicionTimeout = settings.duration("suspicion-timeout-ms");
        return options;
    }

} // namespace

MemberPlugin::MemberPlugin() = default;
MemberPlugin::~MemberPlugin() = default;

auto MemberPlugin::start(kernel::Kernel& kernel, Error& reason) -> bool
{
    const auto settings = kernel.find<settings::Settings>();
    const auto context = kernel.find<proxy::ProxyContext>();
    m_targets = kernel.find<member::TargetRegistry>();
    m_drainState = kernel.find<DrainState>();
    m_snapshots = kernel.find<proxy::SnapshotHolder>();
    m_calls = kernel.find<rpc::RpcClient>();
    m_peers = std::make_shared<member::PeerTable>();
    m_inbox = std::make_shared<ExchangeInbox>();
    m_metrics = std::make_unique<MemberMetrics>(*kernel.find<prometheus::Registry>());
    {
        const MutexLock lock(m_mutex);
        m_node = std::make_unique<GossipNode>(nodeOptions(*settings, *context), monotonicNow());
    }
    if (!bind(settings->text("peer-listen"), reason))
        return false;
    kernel.provide(m_peers);
    kernel.find<rpc::RpcRegistry>()->add(exchangeMethod,
        [this](const nlohmann::json& parameters, Error& why) { return answerExchange(parameters, why); });
    m_timer = std::make_unique<QTimer>();
    m_timer->setTimerType(Qt::PreciseTimer);
    QObject::connect(m_timer.get(), &QTimer::timeout, m_timer.get(), [this] { tick(); });
    m_timer->start(GossipNode::s_tickInterval);
    return true;
}

auto MemberPlugin::stop() -> void
{
    m_timer.reset();
    m_socket.reset();
    m_calls.reset();
}

auto MemberPlugin::bind(const std::string& address, Error& reason) -> bool
{
    m_socket = std::make_unique<QUdpSocket>();
    const auto parsed = member::parseHostAddress(address);
    // Port 0, any free one, leaves the daemon without an address that others could know: it stays alone.
    if (!parsed)
        return true;
    const QHostAddress ip(QString::fromStdString(parsed->ip));
    if (!m_socket->bind(ip, parsed->port, QAbstractSocket::DontShareAddress)) {
        reason = { "bind UDP", address, m_socket->errorString().toStdString() };
        return false;
    }
    QObject::connect(m_socket.get(), &QUdpSocket::readyRead, m_socket.get(), [this] { readDatagrams(); });
    return true;
}

auto MemberPlugin::tick() -> void
{
    const auto now = monotonicNow();
    updateTargets(now);
    for (const auto& answer : m_inbox->takeAll())
        takeAnswer(answer);
    if (const auto snapshot = m_snapshots->current())
        m_peers->advertiseVersions(snapshot->configuration->version, 0);
    Envelopes out;
    {
        const MutexLock lock(m_mutex);
        m_node->addPeers(m_peers->takeAddedPeers());
        m_node->raiseKnownVersions(m_peers->advertisedConfigurationVersion(), m_peers->advertisedSeatEpoch());
        out = m_node->tick(now);
        if (m_drainState->isDraining() && !std::exchange(m_hasLeft, true)) {
            auto farewell = m_node->leave(now);
            std::move(farewell.begin(), farewell.end(), std::back_inserter(out));
        }
    }
    dispatch(std::move(out));
    publish(now);
}

auto MemberPlugin::updateTargets(MonotonicTime now) -> void
{
    if (m_targets->version() == m_targetVersion)
        return;
    const auto snapshot = m_targets->snapshot(now);
    m_targetVersion = snapshot.version;
    std::vector<member::RemoteTarget> serving;
    for (const auto& target : snapshot.targets) {
        if (target.state == member::TargetState::Serving)
            serving.push_back({ target.announcement.service, target.announcement.address, target.announcement.slots });
    }
    const MutexLock lock(m_mutex);
    m_node->setTargets(std::move(serving));
}

auto MemberPlugin::readDatagrams() -> void
{
    while (m_socket->hasPendingDatagrams()) {
        const auto datagram = m_socket->receiveDatagram(maximumDatagramBytes);
        const auto bytes = datagram.data();
        m_traffic.bytesIn += static_cast<std::uint64_t>(bytes.size()) + datagramOverhead;
        Error reason;
        const auto message = member::decodeGossip(
            { reinterpret_cast<const std::uint8_t*>(bytes.data()), static_cast<std::size_t>(bytes.size()) }, reason);
        if (!message) {
            ++m_traffic.malformed;
            continue;
        }
        Envelopes out;
        {
            const MutexLock lock(m_mutex);
            out = m_node->receive(*message, monotonicNow());
        }
        dispatch(std::move(out));
    }
}

auto MemberPlugin::publish(MonotonicTime now) -> void
{
    const MutexLock lock(m_mutex);
    if (now >= m_nextMetrics) {
        m_nextMetrics = now + metricsInterval;
        m_metrics->update(*m_node, m_traffic, m_calls->traffic());
    }
    const auto before = m_peers->current();
    const auto isSame = before->version == m_node->version() && before->seatEpoch == m_node->seatEpoch()
        && before->configurationVersion == m_node->configurationVersion()
        && before->isIsolated == m_node->isIsolated(now);
    if (isSame || now < m_nextPublish)
        return;
    m_nextPublish = now + publishInterval;
    auto snapshot = member::makeSnapshot(*m_node, now);
    logChanges(*before, *snapshot);
    if (snapshot->isIsolated != before->isIsolated)
        log::logEvent(snapshot->isIsolated ? isolated : heardAgain, {});
    m_peers->publish(std::move(snapshot));
}

auto MemberPlugin::dispatch(Envelopes envelopes) -> void
{
    for (const auto& envelope : envelopes) {
        if (envelope.isExchange())
            callExchange(envelope);
        else
            sendDatagram(envelope);
    }
}

auto MemberPlugin::sendDatagram(const GossipEnvelope& envelope) -> void
{
    const auto address = member::parseHostAddress(envelope.to);
    if (!address || !m_socket)
        return;
    const auto bytes = member::encodeGossip(envelope.message);
    m_traffic.bytesOut += bytes.size() + datagramOverhead;
    // A datagram that can't be sent is like a lost one.
    m_socket->writeDatagram(reinterpret_cast<const char*>(bytes.data()), static_cast<qint64>(bytes.size()),
        QHostAddress(QString::fromStdString(address->ip)), address->port);
}

auto MemberPlugin::callExchange(const GossipEnvelope& envelope) -> void
{
    m_calls->call(envelope.to, exchangeMethod, encodeForCall(envelope.message), exchangeTimeout,
        [inbox = m_inbox](rpc::RpcResult result) {
            if (auto* const answer = std::get_if<nlohmann::json>(&result))
                inbox->put(std::move(*answer));
        });
}

auto MemberPlugin::takeAnswer(const nlohmann::json& answer) -> void
{
    Error reason;
    const auto message = decodeFromCall(answer, reason);
    if (!message) {
        ++m_traffic.malformed;
        return;
    }
    Envelopes out;
    {
        const MutexLock lock(m_mutex);
        out = m_node->receive(*message, monotonicNow());
    }
    dispatch(std::move(out));
}

auto MemberPlugin::answerExchange(const nlohmann::json& parameters, Error& reason) -> std::optional<nlohmann::json>
{
    const auto message = decodeFromCall(parameters, reason);
    if (!message)
        return std::nullopt;
    Envelopes out;
    {
        const MutexLock lock(m_mutex);
        out = m_node->receive(*message, monotonicNow());
    }
    if (out.empty() || !out.front().isExchange()) {
        reason = { "exchange members", message->sender.address, "the message is no call" };
        return std::nullopt;
    }
    return encodeForCall(out.front().message);
}

} // namespace coriandergate::daemon
