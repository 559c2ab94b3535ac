// The metrics of the members: who is believed what, and what the gossip costs.
#pragma once

#include "member/GossipNode.h"

#include <cstdint>
#include <map>
#include <string>

namespace prometheus {
class Counter;
class Gauge;
class Registry;
}
namespace coriandergate::rpc {
struct RpcTraffic;
}

namespace coriandergate::daemon {

// MemberMetrics belongs to one thread; the registry may be collected from any.
class MemberMetrics {
public:
    // GossipTraffic counts datagrams' bytes, headers of IP and UDP included.
    struct GossipTraffic {
        std::uint64_t bytesOut = 0;
        std::uint64_t bytesIn = 0;
        std::uint64_t malformed = 0; // datagrams that couldn't be read
    };

    // MemberMetrics() registers with `registry`, which must live longer.
    explicit MemberMetrics(prometheus::Registry& registry);

    // update() brings every metric up to date.
    auto update(const member::GossipNode& node, const GossipTraffic& gossip, const rpc::RpcTraffic& calls) -> void;

private:
    auto raise(prometheus::Counter& counter, std::uint64_t value) -> void;

    std::map<member::MemberState, prometheus::Gauge*> m_members;
    prometheus::Gauge& m_remoteTargets;
    prometheus::Gauge& m_fleetVersion;
    std::map<std::string, prometheus::Counter*> m_bytes;
    std::map<std::string, prometheus::Counter*> m_events;
};

} // namespace coriandergate::daemon
