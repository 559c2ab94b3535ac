// Lets the daemon take part in gossip: a UDP socket on the peer address, exchanges of tables by RPC, the targets of
// this host told to others, and what is known of others published for every part.
#pragma once

#include "base/Mutex.h"
#include "daemon/MemberMetrics.h"
#include "kernel/Plugin.h"
#include "member/GossipEnvelope.h"

#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <vector>

class QTimer;
class QUdpSocket;

namespace coriandergate::member {
class GossipNode;
class PeerTable;
class TargetRegistry;
struct PeerSnapshot;
}
namespace coriandergate::proxy {
class SnapshotHolder;
struct ProxyContext;
}
namespace coriandergate::rpc {
class RpcClient;
}

namespace coriandergate::daemon {

class DrainState;
class ExchangeInbox;

class MemberPlugin : public kernel::Plugin {
public:
    MemberPlugin();
    ~MemberPlugin() override;

    auto start(kernel::Kernel& kernel, Error& reason) -> bool override;
    auto stop() -> void override;

private:
    using Envelopes = std::vector<member::GossipEnvelope>;

    [[nodiscard]] auto bind(const std::string& address, Error& reason) -> bool;
    auto tick() -> void;
    auto readDatagrams() -> void;
    auto updateTargets(MonotonicTime now) -> void;
    auto publish(MonotonicTime now) -> void;
    auto dispatch(Envelopes envelopes) -> void;
    auto sendDatagram(const member::GossipEnvelope& envelope) -> void;
    auto callExchange(const member::GossipEnvelope& envelope) -> void;
    auto takeAnswer(const nlohmann::json& answer) -> void;
    [[nodiscard]] auto answerExchange(const nlohmann::json& parameters, Error& reason) -> std::optional<nlohmann::json>;

    std::shared_ptr<member::TargetRegistry> m_targets;
    std::shared_ptr<member::PeerTable> m_peers;
    std::shared_ptr<DrainState> m_drainState;
    std::shared_ptr<proxy::SnapshotHolder> m_snapshots;
    std::shared_ptr<rpc::RpcClient> m_calls;
    std::shared_ptr<ExchangeInbox> m_inbox;
    std::unique_ptr<QUdpSocket> m_socket;
    std::unique_ptr<QTimer> m_timer;
    std::unique_ptr<MemberMetrics> m_metrics;
    MemberMetrics::GossipTraffic m_traffic;
    std::uint64_t m_targetVersion = 0;
    MonotonicTime m_nextPublish;
    MonotonicTime m_nextMetrics;
    bool m_hasLeft = false;

    // Exchanges are answered on the workers; all else happens on the main thread.
    Mutex m_mutex;
    std::unique_ptr<member::GossipNode> m_node GUARDED_BY(m_mutex);
};

} // namespace coriandergate::daemon
