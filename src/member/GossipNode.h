// Who is in the fleet and which targets are behind each daemon: failure detection and dissemination by gossip, as a
// state machine without sockets, clocks or threads of its own.
//
// Each second a node pings one member, by turns; one that answers neither directly nor through others becomes a
// suspect, and dead when it doesn't speak up for itself in time. Beliefs travel with the pings and in messages of their
// own, each a bounded number of times; tables are compared with a random member now and then, so what a loss or a
// partition kept from a node reaches it later. The scheme is SWIM (Das, Gupta, Motivala, DSN 2002) with a node's doubts
// about its own health after Lifeguard (Dadgar, Phillips, Currey, 2017).
//
//   GossipNode node({ .identity = { "10.0.0.7:7101", 8123 }, .locality = { "saurashtra", "rajkot-1" },
//       .seeds = { "10.0.0.8:7101" }, .generation = startedAtMilliseconds, .randomSeed = 8123 }, now);
//   for (auto& envelope : node.tick(now)) // every tickInterval
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
        std::vector<std::string> seeds; // peer addresses to start from and to come back to
        std::uint64_t generation = 0; // greater at each start of this daemon, such as milliseconds of wall time
        std::uint64_t randomSeed = 0; // of the random choices
        std::chrono::milliseconds probeInterval { 1000 };
        std::chrono::milliseconds directTimeout { 300 }; // after which others are asked to ping too
        std::chrono::milliseconds suspicionTimeout { 4000 };
        std::chrono::milliseconds gossipInterval { 200 };
        std::chrono::milliseconds exchangeInterval { 15000 };
        std::chrono::milliseconds exchangeRetryInterval { 2000 }; // after an exchange that found a difference
        std::chrono::milliseconds reconnectInterval { 10000 }; // between attempts at a dead member or a seed
        std::chrono::milliseconds profileInterval { 1000 }; // between two versions of the own profile
        std::chrono::milliseconds pauseThreshold {
            700
        }; // a longer gap between ticks means that this process stood still
        std::chrono::milliseconds leavingRetention { 30000 };
        std::chrono::minutes deadRetention { 60 };
        std::uint32_t gossipFanout = 2;
        std::uint32_t indirectProbes = 3;
        std::uint32_t extraSends = 3; // of an update, beyond the natural logarithm of the number of members
        double farShare = 0.03125; // least share of the messages that go to other regions
        std::size_t datagramBytes = 1200;
        std::size_t exchangeBytes = 64 * 1024; // of one answer
        double gossipBytesPerSecond = 1024;
        double gossipBurstBytes = 16 * 1024;
        double exchangeBytesPerSecond = 4096; // sets the time between exchanges that carry much
        std::size_t maximumMembers = 8192;
    };

    struct Counters {
        std::uint64_t probes = 0;
        std::uint64_t failedProbes = 0;
        std::uint64_t suspicions = 0; // raised by this node
        std::uint64_t deaths = 0; // declared by this node
        std::uint64_t refutations = 0; // spoken by this node for itself
        std::uint64_t pauses = 0; // of this process, noticed by itself
        std::uint64_t exchanges = 0;
    };

    // GossipNode() starts at `now` knowing the seeds only.
    GossipNode(const Options& options, MonotonicTime now);

    // tick() does what is due and returns the messages to send. To be called every s_tickInterval.
    [[nodiscard]] auto tick(MonotonicTime now) -> std::vector<GossipEnvelope>;

    // receive() takes a message and returns the answers. An answer to an exchange message is the first of them.
    [[nodiscard]] auto receive(const GossipMessage& message, MonotonicTime now) -> std::vector<GossipEnvelope>;

    // setTargets() replaces the targets that this daemon tells others of. Changes are gathered for profileInterval.
    auto setTargets(std::vector<RemoteTarget> targets) -> void;

    // raiseKnownVersions() raises the newest configuration version and seat epoch known to this daemon; lower ones are
    // ignored. What is raised is passed on.
    auto raiseKnownVersions(std::uint64_t configurationVersion, std::uint64_t seatEpoch) -> void;

    // addPeers() gives further addresses to start from, such as those in the store.
    auto addPeers(const std::vector<std::string>& addresses) -> void;

    // leave() tells some members at once that this daemon stops.
    [[nodiscard]] auto leave(MonotonicTime now) -> std::vector<GossipEnvelope>;

    // members() is every other daemon known, the dead included, in no order. find() is one of them, or null.
    [[nodiscard]] auto members() const -> const std::vector<Member>& { return m_table.members(); }
    [[nodiscard]] auto find(const std::string& address) const -> const Member* { return m_table.find(address); }

    // version() grows with each change of a member's state or profile.
    [[nodiscard]] auto version() const -> std::uint64_t { return m_version; }

    // isIsolated() says that nothing has been heard for three probe intervals, while there are members to hear from.
    [[nodiscard]] auto isIsolated(MonotonicTime now) const -> bool;

    [[nodiscard]] auto self() const -> const MemberUpdate& { return m_self; }
    [[nodiscard]] auto configurationVersion() const -> std::uint64_t { return m_configurationVersion; }
    [[nodiscard]] auto seatEpoch() const -> std::uint64_t { return m_seatEpoch; }
    [[nodiscard]] auto counters() const -> const Counters& { return m_counters; }

private:
    using Envelopes = std::vector<GossipEnvelope>;

    // Source says how a belief came, which decides how far it is trusted and passed on.
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

    struct Relay {
        std::string requester;
        std::uint32_t sequence = 0;
        MonotonicTime expiresAt;
    };

    struct BodyHandler;

    auto noticePause(MonotonicTime now) -> void;
    auto publishProfile(MonotonicTime now) -> void;
    auto checkProbe(MonotonicTime now, Envelopes& out) -> void;
    auto startProbe(MonotonicTime now, Envelopes& out) -> void;
    auto probeIndirectly(MonotonicTime now, Envelopes& out) -> void;
    auto endProbe(bool isAnswered, MonotonicTime now) -> void;
    auto endSuspicions(MonotonicTime now) -> void;
    auto gossip(MonotonicTime now, Envelopes& out) -> void;
    auto startExchange(MonotonicTime now, Envelopes& out) -> void;
    auto forget(MonotonicTime now) -> void;

    auto merge(const MemberUpdate& update, Source source, MonotonicTime now) -> void;
    auto mergeSelf(const MemberUpdate& update, MonotonicTime now) -> void;
    auto mergeNew(const MemberUpdate& update, Source source, MonotonicTime now) -> void;
    auto mergeState(Member& member, const MemberUpdate& update, Source source, MonotonicTime now) -> void;
    auto mergeProfile(Member& member, const MemberUpdate& update, Source source, MonotonicTime now) -> void;
    auto suspect(Member& member, MonotonicTime now) -> void;
    auto declareDead(Member& member, MonotonicTime now) -> void;
    auto refute(MonotonicTime now) -> void;

    auto answerDigest(const ExchangeDigest& received, const std::string& sender, Envelopes& out) -> void;
    auto takeVersions(const GossipMessage& message, MonotonicTime now, Envelopes& out) -> void;
    auto answerPull(const ExchangePull& pull, const std::string& sender, Envelopes& out) -> void;
    auto takeProfiles(const GossipMessage& message, MonotonicTime now, Envelopes& out) -> void;
    auto pullNext(const std::string& from, std::vector<MemberUpdate> push, Envelopes& out) -> void;
    auto scheduleExchange(MonotonicTime now, bool foundDifference) -> void;
    [[nodiscard]] auto exchangePeer(MonotonicTime now) -> std::string;
    [[nodiscard]] auto digest(std::size_t bucketCount) const -> internal::TableDigest;

    [[nodiscard]] auto makeMessage(GossipBody body) const -> GossipMessage;
    auto send(const std::string& to, GossipBody body, Envelopes& out) -> void;
    auto addUpdates(const std::string& to, GossipMessage& message) -> void;
    [[nodiscard]] auto beliefAbout(const std::string& address) const -> const MemberUpdate*;
    [[nodiscard]] auto maximumSends() const -> std::uint32_t;
    [[nodiscard]] auto patience() const -> std::uint32_t { return 1 + m_doubts; }

    const Options m_options;
    MemberUpdate m_self;
    internal::MemberTable m_table;
    internal::UpdateQueue m_queue;
    std::mt19937 m_random;
    std::vector<std::string> m_seeds;
    std::optional<std::vector<RemoteTarget>> m_pendingTargets;
    std::optional<Probe> m_probe;
    std::map<std::uint32_t, Relay> m_relays;
    std::vector<std::string> m_suspects;
    std::vector<std::string> m_wanted; // addresses whose profiles are to be pulled
    std::vector<std::string> m_toChallenge; // believed dead by others, to be asked themselves
    std::uint32_t m_sequence = 0;
    std::uint32_t m_doubts = 0; // about this node's own health
    std::uint32_t m_versionSends = 0; // left for raised versions
    std::uint64_t m_configurationVersion = 0;
    std::uint64_t m_seatEpoch = 0;
    std::uint64_t m_version = 0;
    double m_gossipTokens = 0; // bytes
    std::size_t m_exchangedBytes = 0; // of the latest exchange
    bool m_isNew = true; // its own profile goes along with exchanges until one has succeeded
    MonotonicTime m_lastTick;
    MonotonicTime m_lastHeard;
    MonotonicTime m_nextProbe;
    MonotonicTime m_nextGossip;
    MonotonicTime m_nextExchange;
    MonotonicTime m_nextReconnect;
    MonotonicTime m_nextProfile;
    MonotonicTime m_nextForget;
    Counters m_counters;
};

} // namespace coriandergate::member
