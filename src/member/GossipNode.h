// Gossip-based membership: detects failed daemons and disseminates which daemons and targets the fleet has. GossipNode
// is a state machine without sockets, clocks or threads of its own.
//
// Each second a node probes one member, in round-robin order. A member that answers neither a direct nor an indirect
// ping becomes suspect, and is declared dead unless it refutes the suspicion in time. Updates are piggybacked on pings
// and sent in messages of their own, each a bounded number of times. Periodic anti-entropy exchanges with a random
// member deliver what was lost to packet loss or a partition. The protocol is SWIM (Das, Gupta, Motivala, DSN 2002)
// with the local health multiplier of Lifeguard (Dadgar, Phillips, Currey, 2017).
//
//   GossipNode node({ .identity = { "10.0.0.7:7101", 8123 }, .locality = { "saurashtra", "rajkot-1" },
//       .seeds = { "10.0.0.8:7101" }, .generation = startedAtMilliseconds, .randomSeed = 8123 }, now);
//   for (auto& envelope : node.tick(now)) // every s_tickInterval
//       send(envelope);
//   for (auto& envelope : node.receive(message, now))
//       send(envelope);
#pragma once

#include "base/Clock.h"
#include "base/DaemonIdentity.h"
#include "base/Locality.h"
#include "member/GossipEnvelope.h"
#include "member/Member.h"
#include "member/RemoteTarget.h"
#include "member/internal/MemberTable.h"
#include "member/internal/TableDigest.h"
#include "member/internal/UpdateQueue.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace coriandergate::member {

// GossipNode is not thread-safe.
class GossipNode {
public:
    static constexpr std::chrono::milliseconds s_tickInterval { 100 };

    struct Options {
        DaemonIdentity identity;
        Locality locality;
        std::vector<std::string> seeds; // peer addresses used to join and to reconnect
        std::uint64_t generation = 0; // must increase with each start of this daemon, for example wall time in ms
        std::uint64_t randomSeed = 0;
        std::chrono::milliseconds probeInterval { 1000 };
        std::chrono::milliseconds directTimeout { 300 }; // of the direct ping, before indirect ones are sent
        std::chrono::milliseconds suspicionTimeout { 4000 };
        std::chrono::milliseconds gossipInterval { 200 };
        std::chrono::milliseconds exchangeInterval { 15000 };
        std::chrono::milliseconds exchangeRetryInterval { 2000 }; // after an exchange that found differences
        std::chrono::milliseconds reconnectInterval { 10000 }; // between attempts to reach a dead member or a seed
        std::chrono::milliseconds minimumProfileInterval { 1000 }; // between versions of the own profile
        std::chrono::milliseconds pauseThreshold { 700 }; // a longer gap between ticks means this process was paused
        std::chrono::milliseconds leavingRetention { 30000 }; // before a leaving member is considered dead
        std::chrono::minutes deadRetention { 60 }; // before a dead member is removed
        std::uint32_t gossipFanout = 2; // messages per gossip interval
        std::uint32_t indirectProbes = 3; // members asked to ping on behalf of this node
        std::uint32_t extraSends = 3; // of an update, in addition to the natural logarithm of the number of members
        double minimumCrossRegionShare = 0.03125; // of messages, sent to other regions
        std::size_t maximumDatagramBytes = 1200;
        std::size_t maximumExchangeResponseBytes = 64 * 1024;
        double gossipBytesPerSecond = 1024; // token bucket for updates in datagrams
        double gossipBurstBytes = 16 * 1024;
        double exchangeBytesPerSecond = 4096; // a large exchange delays the next one to keep this rate
        std::size_t maximumMembers = 8192;
    };

    struct Counters {
        std::uint64_t probes = 0;
        std::uint64_t failedProbes = 0;
        std::uint64_t suspicions = 0; // raised by this node
        std::uint64_t deaths = 0; // declared by this node
        std::uint64_t refutations = 0; // by this node, of claims about itself
        std::uint64_t pauses = 0; // of this process, detected by a gap between ticks
        std::uint64_t exchanges = 0;
    };

    // GossipNode() starts at `now` with no members and `options.seeds` to contact.
    GossipNode(const Options& options, MonotonicTime now);

    // tick() runs the timers that are due and returns the messages to send. Call it every s_tickInterval.
    [[nodiscard]] auto tick(MonotonicTime now) -> std::vector<GossipEnvelope>;

    // receive() processes a message and returns the responses; the one to an exchange request comes first.
    [[nodiscard]] auto receive(const GossipMessage& message, MonotonicTime now) -> std::vector<GossipEnvelope>;

    // setTargets() replaces the targets that this daemon advertises. Changes within minimumProfileInterval are batched.
    auto setTargets(std::vector<RemoteTarget> targets) -> void;

    // raiseKnownVersions() raises the newest known configuration version and seat epoch and disseminates them. Lower
    // values are ignored.
    auto raiseKnownVersions(std::uint64_t configurationVersion, std::uint64_t seatEpoch) -> void;

    // addPeers() adds seed addresses, such as those in the store.
    auto addPeers(const std::vector<std::string>& addresses) -> void;

    // leave() marks this daemon as leaving and returns messages that announce it to some members at once.
    [[nodiscard]] auto leave(MonotonicTime now) -> std::vector<GossipEnvelope>;

    // members() returns all other known daemons, dead ones included, in unspecified order. find() returns one or null.
    [[nodiscard]] auto members() const -> const std::vector<Member>& { return m_table.members(); }
    [[nodiscard]] auto find(const std::string& address) const -> const Member* { return m_table.find(address); }

    // version() increases with every change to a member's state or profile.
    [[nodiscard]] auto version() const -> std::uint64_t { return m_version; }

    // isIsolated() returns whether no message has arrived for three probe intervals although some member is alive or
    // suspect.
    [[nodiscard]] auto isIsolated(MonotonicTime now) const -> bool;

    [[nodiscard]] auto self() const -> const MemberUpdate& { return m_self; }
    [[nodiscard]] auto configurationVersion() const -> std::uint64_t { return m_configurationVersion; }
    [[nodiscard]] auto seatEpoch() const -> std::uint64_t { return m_seatEpoch; }
    [[nodiscard]] auto counters() const -> const Counters& { return m_counters; }

private:
    using Envelopes = std::vector<GossipEnvelope>;

    // Source is how an update arrived. Updates from an exchange are not disseminated further, and a death reported by
    // one is verified first.
    enum class Source {
        Gossip,
        Exchange,
    };

    struct Probe {
        std::string address;
        std::uint32_t sequence = 0;
        MonotonicTime startedAt;
        bool isIndirect = false;
    };

    // RelayedPing is a ping sent on behalf of `requester`.
    struct RelayedPing {
        std::string requester;
        std::uint32_t sequence = 0; // of the requester's IndirectPing
        MonotonicTime expiresAt;
    };

    struct BodyHandler;

    // detectPause() refills the gossip token bucket and, after a pause of this process, extends the running timeouts.
    auto detectPause(MonotonicTime now) -> void;
    auto publishProfile(MonotonicTime now) -> void;
    auto checkProbeTimeout(MonotonicTime now, Envelopes& out) -> void;
    auto startProbe(MonotonicTime now, Envelopes& out) -> void;
    auto sendIndirectProbes(MonotonicTime now, Envelopes& out) -> void;
    auto endProbe(bool isAnswered, MonotonicTime now) -> void;
    auto expireSuspicions(MonotonicTime now) -> void;
    auto sendGossip(MonotonicTime now, Envelopes& out) -> void;
    auto startExchange(MonotonicTime now, Envelopes& out) -> void;
    // removeExpired() removes outdated queue entries, relayed pings and dead members, and marks members dead that left
    // longer than leavingRetention ago.
    auto removeExpired(MonotonicTime now) -> void;

    auto merge(const MemberUpdate& update, Source source, MonotonicTime now) -> void;
    auto mergeSelf(const MemberUpdate& update, MonotonicTime now) -> void;
    auto mergeNewMember(const MemberUpdate& update, Source source, MonotonicTime now) -> void;
    auto mergeState(Member& member, const MemberUpdate& update, Source source, MonotonicTime now) -> void;
    auto mergeProfile(Member& member, const MemberUpdate& update, Source source, MonotonicTime now) -> void;
    auto markSuspect(Member& member, MonotonicTime now) -> void;
    auto declareDead(Member& member, MonotonicTime now) -> void;
    auto refute(MonotonicTime now) -> void;

    auto respondToDigest(const ExchangeDigest& received, const std::string& sender, Envelopes& out) -> void;
    auto handleVersions(const GossipMessage& message, MonotonicTime now, Envelopes& out) -> void;
    auto respondToPull(const ExchangePull& pull, const std::string& sender, Envelopes& out) -> void;
    auto handleProfiles(const GossipMessage& message, MonotonicTime now, Envelopes& out) -> void;
    auto sendPull(const std::string& to, std::vector<MemberUpdate> push, Envelopes& out) -> void;
    auto scheduleExchange(MonotonicTime now, bool foundDifference) -> void;
    [[nodiscard]] auto randomExchangePeer(MonotonicTime now) -> std::string;
    [[nodiscard]] auto makeDigest(std::size_t bucketCount) const -> internal::TableDigest;

    [[nodiscard]] auto makeMessage(GossipBody body) const -> GossipMessage;
    auto send(const std::string& to, GossipBody body, Envelopes& out) -> void;
    auto addUpdates(const std::string& to, GossipMessage& message) -> void;
    [[nodiscard]] auto findRecord(const std::string& address) const -> const MemberUpdate*;
    [[nodiscard]] auto maximumSendsPerUpdate() const -> std::uint32_t;
    [[nodiscard]] auto localHealthMultiplier() const -> std::uint32_t { return 1 + m_localHealthScore; }

    const Options m_options;
    MemberUpdate m_self;
    internal::MemberTable m_table;
    internal::UpdateQueue m_queue;
    std::mt19937 m_random;
    std::vector<std::string> m_seeds;
    std::optional<std::vector<RemoteTarget>> m_pendingTargets;
    std::optional<Probe> m_probe;
    std::map<std::uint32_t, RelayedPing> m_relayedPings;
    std::vector<std::string> m_suspects;
    std::vector<std::string> m_pendingPulls; // addresses whose profiles are to be pulled
    std::vector<std::string> m_deathsToVerify; // addresses to ping because an exchange reported them dead
    std::uint32_t m_sequence = 0;
    std::uint32_t m_localHealthScore = 0; // 0 is healthy; failed probes and refutations raise it
    std::uint32_t m_versionSendsLeft = 0; // messages left that disseminate the raised versions
    std::uint64_t m_configurationVersion = 0;
    std::uint64_t m_seatEpoch = 0;
    std::uint64_t m_version = 0;
    double m_gossipTokens = 0; // bytes
    std::size_t m_lastExchangeBytes = 0; // received in the latest exchange
    bool m_isJoining = true; // until an exchange succeeds, digests include this node's profile
    MonotonicTime m_lastTickAt;
    MonotonicTime m_lastReceivedAt;
    MonotonicTime m_nextProbeAt;
    MonotonicTime m_nextGossipAt;
    MonotonicTime m_nextExchangeAt;
    MonotonicTime m_nextReconnectAt;
    MonotonicTime m_nextProfileAt;
    MonotonicTime m_nextRemovalAt;
    Counters m_counters;
};

} // namespace coriandergate::member
