#include "daemon/MemberMetrics.h"

#include "member/MemberProfile.h"
#include "rpc/RpcTraffic.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

namespace coriandergate::daemon {

namespace {

    using member::MemberState;

} // namespace

MemberMetrics::MemberMetrics(prometheus::Registry& registry)
    : m_remoteTargets(prometheus::BuildGauge()
                          .Name("coriandergate_remote_targets")
                          .Help("targets known behind other daemons")
                          .Register(registry)
                          .Add({}))
    , m_fleetVersion(prometheus::BuildGauge()
                         .Name("coriandergate_fleet_configuration_version")
                         .Help("the newest configuration version that any daemon is known to have")
                         .Register(registry)
                         .Add({}))
{
    auto& members = prometheus::BuildGauge()
                        .Name("coriandergate_members")
                        .Help("other daemons by what this one believes of them")
                        .Register(registry);
    m_members = { { MemberState::Alive, &members.Add({ { "state", "alive" } }) },
        { MemberState::Suspect, &members.Add({ { "state", "suspect" } }) },
        { MemberState::Leaving, &members.Add({ { "state", "leaving" } }) },
        { MemberState::Dead, &members.Add({ { "state", "dead" } }) } };
    auto& bytes = prometheus::BuildCounter()
                      .Name("coriandergate_control_bytes_total")
                      .Help("bytes of control traffic with other daemons")
                      .Register(registry);
    for (const auto* const name : { "gossip-out", "gossip-in", "rpc-out", "rpc-in" })
        m_bytes[name] = &bytes.Add({ { "kind", name } });
    auto& events = prometheus::BuildCounter()
                       .Name("coriandergate_member_events_total")
                       .Help("what the failure detector did")
                       .Register(registry);
    for (const auto* const name : { "probe", "failed-probe", "suspicion", "death", "refutation", "pause", "exchange",
             "malformed-datagram", "failed-call" })
        m_events[name] = &events.Add({ { "event", name } });
}

auto MemberMetrics::update(const member::GossipNode& node, const GossipTraffic& gossip, const rpc::RpcTraffic& calls)
    -> void
{
    std::map<MemberState, double> counts;
    double targets = 0;
    for (const auto& member : node.members()) {
        ++counts[member.record.state];
        if (member.record.profile && member.record.state <= MemberState::Suspect)
            targets += static_cast<double>(member.record.profile->targets.size());
    }
    for (const auto& [state, gauge] : m_members)
        gauge->Set(counts[state]);
    m_remoteTargets.Set(targets);
    m_fleetVersion.Set(static_cast<double>(node.configurationVersion()));
    raise(*m_bytes["gossip-out"], gossip.bytesOut);
    raise(*m_bytes["gossip-in"], gossip.bytesIn);
    raise(*m_bytes["rpc-out"], calls.bytesOut);
    raise(*m_bytes["rpc-in"], calls.bytesIn);
    const auto& counters = node.counters();
    raise(*m_events["probe"], counters.probes);
    raise(*m_events["failed-probe"], counters.failedProbes);
    raise(*m_events["suspicion"], counters.suspicions);
    raise(*m_events["death"], counters.deaths);
    raise(*m_events["refutation"], counters.refutations);
    raise(*m_events["pause"], counters.pauses);
    raise(*m_events["exchange"], counters.exchanges);
    raise(*m_events["malformed-datagram"], gossip.malformed);
    raise(*m_events["failed-call"], calls.failures);
}

auto MemberMetrics::raise(prometheus::Counter& counter, std::uint64_t value) -> void
{
    const auto gain = static_cast<double>(value) - counter.Value();
    if (gain > 0)
        counter.Increment(gain);
}

} // namespace coriandergate::daemon
