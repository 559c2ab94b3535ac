#include "member/GossipNode.h"

#include "base/Hash.h"
#include "member/GossipCodec.h"
#include "member/MemberProfile.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace coriandergate::member {

namespace {

    constexpr std::uint32_t maximumDoubts = 4;
    constexpr std::uint32_t isolationIntervals = 3;
    constexpr std::size_t maximumPull = 150;
    constexpr std::size_t maximumPush = 200;
    constexpr std::size_t maximumWanted = 8192;
    constexpr std::size_t maximumChallenges = 16; // a tick
    constexpr std::size_t maximumRelays = 256;
    constexpr std::size_t messageOverheadBytes = 60;
    constexpr std::size_t updatesConsidered = 40; // for one datagram
    constexpr std::size_t leaveFanout = 6;
    constexpr std::size_t thriftyBytes = 240; // of updates in a datagram once the byte rate is used up
    constexpr std::chrono::seconds forgetInterval { 5 };
    constexpr std::chrono::seconds queueTime { 20 };

    auto withoutProfile(MemberUpdate belief) -> MemberUpdate
    {
        belief.profile = nullptr;
        return belief;
    }

    auto withoutTargets(const MemberProfile& profile) -> std::shared_ptr<const MemberProfile>
    {
        auto emptied = std::make_shared<MemberProfile>();
        emptied->incarnation = profile.incarnation;
        emptied->locality = profile.locality;
        return emptied;
    }

    auto hasMembersToHear(const std::vector<Member>& members) -> bool
    {
        return std::any_of(members.begin(), members.end(),
            [](const Member& member) { return member.record.state <= MemberState::Suspect; });
    }

}

GossipNode::GossipNode(const Options& options, MonotonicTime now)
    : m_options(options)
    , m_table(options.locality, options.farShare)
    , m_random(static_cast<std::mt19937::result_type>(hashOf(options.identity.address, options.randomSeed)))
    , m_seeds(options.seeds)
    , m_gossipTokens(options.gossipBurstBytes)
    , m_lastTick(now)
    , m_lastHeard(now)
    , m_nextExchange(now)
    , m_nextForget(now + forgetInterval)
{
    m_self.address = options.identity.address;
    m_self.generation = options.generation;
    m_self.profileVersion = 1;
    auto profile = std::make_shared<MemberProfile>();
    profile->incarnation = options.identity.incarnation;
    profile->locality = options.locality;
    m_self.profile = std::move(profile);
    std::erase(m_seeds, m_self.address);
    // Daemons that start together spread their periodic work over the interval.
    const auto phase = std::uniform_int_distribution<std::int64_t>(0, m_options.probeInterval.count() - 1)(m_random);
    m_nextProbe = now + std::chrono::milliseconds(phase);
    m_nextGossip = now + std::chrono::milliseconds(phase) % m_options.gossipInterval;
    m_nextReconnect = now + m_options.reconnectInterval + std::chrono::milliseconds(phase);
    m_nextProfile = now;
}

auto GossipNode::tick(MonotonicTime now) -> Envelopes
{
    Envelopes out;
    noticePause(now);
    publishProfile(now);
    checkProbe(now, out);
    startProbe(now, out);
    endSuspicions(now);
    gossip(now, out);
    startExchange(now, out);
    forget(now);
    return out;
}

auto GossipNode::noticePause(MonotonicTime now) -> void
{
    const auto gap = now - std::exchange(m_lastTick, now);
    const auto earned = m_options.gossipBytesPerSecond * std::chrono::duration<double>(gap).count();
    m_gossipTokens = std::min(m_options.gossipBurstBytes, m_gossipTokens + earned);
    if (gap <= m_options.pauseThreshold)
        return;
    // Answers may have come and waited while this process stood still: its own lateness is no sign about others.
    ++m_counters.pauses;
    m_probe.reset();
    m_lastHeard += gap;
    for (const auto& address : m_suspects) {
        if (auto* const member = m_table.find(address))
            member->suspicionEndsAt += gap;
    }
}

auto GossipNode::publishProfile(MonotonicTime now) -> void
{
    if (!m_pendingTargets || now < m_nextProfile)
        return;
    auto targets = std::exchange(m_pendingTargets, std::nullopt);
    if (*targets == m_self.profile->targets)
        return;
    auto profile = std::make_shared<MemberProfile>(*m_self.profile);
    profile->targets = std::move(*targets);
    m_self.profile = std::move(profile);
    ++m_self.profileVersion;
    m_queue.push(m_self.address, true, now);
    m_nextProfile = now + m_options.profileInterval;
}

auto GossipNode::checkProbe(MonotonicTime now, Envelopes& out) -> void
{
    if (!m_probe)
        return;
    if (now >= m_probe->startedAt + m_options.probeInterval * patience())
        endProbe(false, now);
    else if (!m_probe->isIndirect && now >= m_probe->startedAt + m_options.directTimeout * patience())
        probeIndirectly(now, out);
}

auto GossipNode::startProbe(MonotonicTime now, Envelopes& out) -> void
{
    for (std::size_t count = 0; count < maximumChallenges && !m_toChallenge.empty(); ++count) {
        send(m_toChallenge.back(), Ping { ++m_sequence }, out);
        m_toChallenge.pop_back();
    }
    if (m_probe || now < m_nextProbe)
        return;
    m_nextProbe = std::max(m_nextProbe + m_options.probeInterval, now);
    const auto* const member = m_table.nextToProbe(m_random, now);
    if (member == nullptr)
        return;
    m_probe = Probe { member->record.address, ++m_sequence, now, false };
    ++m_counters.probes;
    send(m_probe->address, Ping { m_probe->sequence }, out);
}

auto GossipNode::probeIndirectly(MonotonicTime now, Envelopes& out) -> void
{
    m_probe->isIndirect = true;
    // The direct path is tried once more too: a single lost datagram is the likeliest reason for silence.
    send(m_probe->address, Ping { m_probe->sequence }, out);
    for (std::uint32_t i = 0; i < m_options.indirectProbes; ++i) {
        const auto* const helper = m_table.randomReachable(m_random, now);
        if (helper != nullptr && helper->record.address != m_probe->address)
            send(helper->record.address, IndirectPing { m_probe->sequence, m_probe->address }, out);
    }
}

auto GossipNode::endProbe(bool isAnswered, MonotonicTime now) -> void
{
    const auto probe = *std::exchange(m_probe, std::nullopt);
    if (isAnswered) {
        m_doubts -= m_doubts > 0 ? 1 : 0;
        return;
    }
    ++m_counters.failedProbes;
    m_doubts = std::min(m_doubts + 1, maximumDoubts);
    if (auto* const member = m_table.find(probe.address);
        member != nullptr && member->record.state == MemberState::Alive)
        suspect(*member, now);
}

auto GossipNode::suspect(Member& member, MonotonicTime now) -> void
{
    ++m_counters.suspicions;
    member.record.state = MemberState::Suspect;
    member.changedAt = now;
    // A node that hears nobody has lost its own connection more likely than everybody: it keeps its doubts to itself.
    const auto isAlone = isIsolated(now);
    member.suspicionEndsAt = now + m_options.suspicionTimeout * (isAlone ? isolationIntervals : 1);
    m_suspects.push_back(member.record.address);
    if (!isAlone)
        m_queue.push(member.record.address, false, now);
    ++m_version;
}

auto GossipNode::endSuspicions(MonotonicTime now) -> void
{
    std::erase_if(m_suspects, [this, now](const std::string& address) {
        auto* const member = m_table.find(address);
        if (member == nullptr || member->record.state != MemberState::Suspect)
            return true;
        if (now < member->suspicionEndsAt)
            return false;
        declareDead(*member, now);
        return true;
    });
}

auto GossipNode::declareDead(Member& member, MonotonicTime now) -> void
{
    ++m_counters.deaths;
    member.record.state = MemberState::Dead;
    member.changedAt = now;
    m_table.touch();
    ++m_version;
    if (!isIsolated(now))
        m_queue.push(member.record.address, false, now);
}

auto GossipNode::gossip(MonotonicTime now, Envelopes& out) -> void
{
    if (now < m_nextGossip)
        return;
    m_nextGossip = std::max(m_nextGossip + m_options.gossipInterval, now);
    for (std::uint32_t i = 0; i < m_options.gossipFanout; ++i) {
        if (m_queue.isEmpty() && m_versionSends == 0)
            return;
        const auto* const member = m_table.randomReachable(m_random, now);
        if (member == nullptr)
            return;
        send(member->record.address, Rumours {}, out);
    }
}

auto GossipNode::startExchange(MonotonicTime now, Envelopes& out) -> void
{
    const auto isReconnecting = now >= m_nextReconnect;
    if (now < m_nextExchange && !isReconnecting)
        return;
    auto peer = isReconnecting ? std::string() : exchangePeer(now);
    if (isReconnecting || peer.empty()) {
        m_nextReconnect = now + m_options.reconnectInterval;
        const auto* const dead = m_table.randomDead(m_random, now);
        const auto usesSeed = !m_seeds.empty() && (dead == nullptr || m_random() % 2 == 0);
        if (usesSeed)
            peer = m_seeds[m_random() % m_seeds.size()];
        else if (dead != nullptr)
            peer = dead->record.address;
        // A seed that is believed alive is met in the ordinary exchanges.
        const auto* const member = m_table.find(peer);
        if (isReconnecting && member != nullptr && member->record.state == MemberState::Alive)
            return;
    }
    scheduleExchange(now, m_table.size() == 0);
    if (peer.empty())
        return;
    ++m_counters.exchanges;
    m_exchangedBytes = 0;
    const auto bucketCount = internal::TableDigest::bucketCountFor(m_table.size());
    send(peer, ExchangeDigest { digest(bucketCount).hashes() }, out);
}

auto GossipNode::exchangePeer(MonotonicTime now) -> std::string
{
    const auto* const member = m_table.randomReachable(m_random, now);
    return member == nullptr ? std::string() : member->record.address;
}

auto GossipNode::scheduleExchange(MonotonicTime now, bool foundDifference) -> void
{
    const std::chrono::milliseconds base
        = foundDifference ? m_options.exchangeRetryInterval : m_options.exchangeInterval;
    const auto jitter = std::uniform_real_distribution<>(0.75, 1.25)(m_random);
    const auto paid
        = std::chrono::duration<double>(static_cast<double>(m_exchangedBytes) / m_options.exchangeBytesPerSecond);
    const auto wait = std::max<std::chrono::duration<double>>(base * jitter, paid);
    m_nextExchange = now + std::chrono::duration_cast<MonotonicDuration>(wait);
}

auto GossipNode::forget(MonotonicTime now) -> void
{
    if (now < m_nextForget)
        return;
    m_nextForget = now + forgetInterval;
    m_queue.eraseQueuedBefore(now - queueTime);
    std::erase_if(m_relays, [now](const auto& relay) { return relay.second.expiresAt <= now; });
    for (const auto& member : m_table.members()) {
        const auto hasLeft
            = member.record.state == MemberState::Leaving && now >= member.changedAt + m_options.leavingRetention;
        if (hasLeft) {
            auto* const left = m_table.find(member.record.address);
            left->record.state = MemberState::Dead;
            left->changedAt = now;
            m_table.touch();
            ++m_version;
        }
    }
    m_table.eraseDeadBefore(now - m_options.deadRetention);
}

struct GossipNode::BodyHandler {
    GossipNode& node;
    const GossipMessage& message;
    MonotonicTime now;
    Envelopes& out;

    auto operator()(const Ping& body) const -> void { node.send(message.sender.address, Ack { body.sequence }, out); }

    auto operator()(const Ack& body) const -> void
    {
        const auto relay = node.m_relays.find(body.sequence);
        if (relay != node.m_relays.end()) {
            node.send(relay->second.requester, Ack { relay->second.sequence }, out);
            node.m_relays.erase(relay);
        }
        if (node.m_probe && node.m_probe->sequence == body.sequence)
            node.endProbe(true, now);
    }

    auto operator()(const IndirectPing& body) const -> void
    {
        if (node.m_relays.size() >= maximumRelays)
            return;
        const auto sequence = ++node.m_sequence;
        node.m_relays[sequence] = { message.sender.address, body.sequence, now + node.m_options.probeInterval };
        node.send(body.address, Ping { sequence }, out);
    }

    auto operator()(const Rumours&) const -> void { }

    auto operator()(const ExchangeDigest& body) const -> void { node.answerDigest(body, message.sender.address, out); }
    auto operator()(const ExchangeVersions&) const -> void { node.takeVersions(message, now, out); }
    auto operator()(const ExchangePull& body) const -> void { node.answerPull(body, message.sender.address, out); }
    auto operator()(const ExchangeProfiles&) const -> void { node.takeProfiles(message, now, out); }
};

auto GossipNode::receive(const GossipMessage& message, MonotonicTime now) -> Envelopes
{
    Envelopes out;
    if (message.sender.address == m_self.address)
        return out;
    m_lastHeard = now;
    raiseKnownVersions(message.configurationVersion, message.seatEpoch);
    const auto isAnswer = std::holds_alternative<ExchangeVersions>(message.body)
        || std::holds_alternative<ExchangeProfiles>(message.body);
    merge(message.sender, Source::Gossip, now);
    if (!isAnswer) {
        const auto isPull = std::holds_alternative<ExchangePull>(message.body);
        for (const auto& update : message.updates)
            merge(update, isPull ? Source::Exchange : Source::Gossip, now);
    }
    std::visit(BodyHandler { *this, message, now, out }, message.body);
    // Whoever is believed to be gone and yet speaks is told, so that it can refute it.
    const auto* const sender = beliefAbout(message.sender.address);
    if (out.empty() && sender != nullptr
        && (sender->state == MemberState::Suspect || sender->state == MemberState::Dead))
        send(message.sender.address, Rumours {}, out);
    return out;
}

auto GossipNode::setTargets(std::vector<RemoteTarget> targets) -> void { m_pendingTargets = std::move(targets); }

auto GossipNode::raiseKnownVersions(std::uint64_t configurationVersion, std::uint64_t seatEpoch) -> void
{
    if (configurationVersion <= m_configurationVersion && seatEpoch <= m_seatEpoch)
        return;
    m_configurationVersion = std::max(m_configurationVersion, configurationVersion);
    m_seatEpoch = std::max(m_seatEpoch, seatEpoch);
    m_versionSends = maximumSends();
}

auto GossipNode::addPeers(const std::vector<std::string>& addresses) -> void
{
    for (const auto& address : addresses) {
        const auto isKnown = std::find(m_seeds.begin(), m_seeds.end(), address) != m_seeds.end();
        if (!isKnown && address != m_self.address && m_seeds.size() < m_options.maximumMembers)
            m_seeds.push_back(address);
    }
}

auto GossipNode::leave(MonotonicTime now) -> Envelopes
{
    Envelopes out;
    m_self.state = MemberState::Leaving;
    ++m_self.refutation;
    m_queue.push(m_self.address, false, now);
    for (std::size_t i = 0; i < leaveFanout; ++i) {
        if (const auto* const member = m_table.randomReachable(m_random, now))
            send(member->record.address, Rumours {}, out);
    }
    return out;
}

auto GossipNode::isIsolated(MonotonicTime now) const -> bool
{
    return now >= m_lastHeard + m_options.probeInterval * isolationIntervals && hasMembersToHear(m_table.members());
}

auto GossipNode::merge(const MemberUpdate& update, Source source, MonotonicTime now) -> void
{
    if (update.address == m_self.address) {
        mergeSelf(update, now);
        return;
    }
    auto* const member = m_table.find(update.address);
    if (member == nullptr) {
        mergeNew(update, source, now);
        return;
    }
    mergeState(*member, update, source, now);
    mergeProfile(*member, update, source, now);
}

auto GossipNode::mergeSelf(const MemberUpdate& update, MonotonicTime now) -> void
{
    const auto isOlderRun = update.generation < m_self.generation
        || (update.generation == m_self.generation && update.refutation < m_self.refutation);
    if (isOlderRun)
        return;
    if (update.generation > m_self.generation) {
        // Another run at this address came by a greater number, be it by a wall clock that went back.
        m_self.generation = update.generation + 1;
        m_self.refutation = 0;
        m_queue.push(m_self.address, true, now);
    } else if (update.state > m_self.state || update.refutation > m_self.refutation) {
        m_self.refutation = std::max(m_self.refutation, update.refutation);
        refute(now);
    }
}

auto GossipNode::refute(MonotonicTime now) -> void
{
    ++m_counters.refutations;
    ++m_self.refutation;
    m_queue.push(m_self.address, false, now);
    m_doubts = std::min(m_doubts + 1, maximumDoubts);
}

auto GossipNode::mergeNew(const MemberUpdate& update, Source source, MonotonicTime now) -> void
{
    if (update.state == MemberState::Dead || m_table.size() >= m_options.maximumMembers)
        return;
    if (!update.profile) {
        if (m_wanted.size() < maximumWanted)
            m_wanted.push_back(update.address);
        m_nextExchange = std::min(m_nextExchange, now + m_options.exchangeRetryInterval);
        return;
    }
    auto& member = m_table.insert({ update, now, now + m_options.suspicionTimeout });
    if (member.record.state == MemberState::Suspect)
        m_suspects.push_back(update.address);
    ++m_version;
    if (source == Source::Gossip)
        m_queue.push(update.address, true, now);
}

auto GossipNode::mergeState(Member& member, const MemberUpdate& update, Source source, MonotonicTime now) -> void
{
    auto& belief = member.record;
    if (!update.isNewerThan(belief))
        return;
    const auto isHearsayOfDeath = source == Source::Exchange && update.state == MemberState::Dead
        && belief.state < MemberState::Leaving && update.generation == belief.generation;
    if (isHearsayOfDeath) {
        // After a partition each side's table calls the other side dead; who can be reached is asked first.
        m_toChallenge.push_back(update.address);
        if (belief.state == MemberState::Suspect)
            return;
        belief.refutation = update.refutation;
        belief.state = MemberState::Suspect;
        member.changedAt = now;
        member.suspicionEndsAt = now + m_options.suspicionTimeout;
        m_suspects.push_back(belief.address);
        ++m_version;
        return;
    }
    if (update.generation > belief.generation && belief.profile) {
        belief.profile = withoutTargets(*belief.profile);
        belief.profileVersion = 0;
    }
    const auto hadState = belief.state;
    belief.generation = update.generation;
    belief.refutation = update.refutation;
    belief.state = update.state;
    if (belief.state == MemberState::Suspect && hadState != MemberState::Suspect) {
        member.suspicionEndsAt = now + m_options.suspicionTimeout;
        m_suspects.push_back(belief.address);
    }
    if (hadState != belief.state) {
        member.changedAt = now;
        m_table.touch();
    }
    ++m_version;
    if (source == Source::Gossip)
        m_queue.push(belief.address, false, now);
}

auto GossipNode::mergeProfile(Member& member, const MemberUpdate& update, Source source, MonotonicTime now) -> void
{
    auto& belief = member.record;
    if (!update.profile || update.generation != belief.generation || update.profileVersion <= belief.profileVersion)
        return;
    if (!belief.profile || belief.profile->locality != update.profile->locality)
        m_table.touch();
    belief.profile = update.profile;
    belief.profileVersion = update.profileVersion;
    ++m_version;
    if (source == Source::Gossip)
        m_queue.push(belief.address, true, now);
}

auto GossipNode::answerDigest(const ExchangeDigest& received, const std::string& sender, Envelopes& out) -> void
{
    const auto own = digest(received.bucketHashes.size());
    auto message = makeMessage(ExchangeVersions {});
    std::size_t bytes = messageOverheadBytes;
    const auto add = [&](const MemberUpdate& belief) {
        const auto size = estimatedEncodedBytes(withoutProfile(belief));
        if (!own.differsAt(belief.address, received.bucketHashes) || bytes + size > m_options.exchangeBytes)
            return;
        bytes += size;
        message.updates.push_back(withoutProfile(belief));
    };
    add(m_self);
    for (const auto& member : m_table.members())
        add(member.record);
    out.push_back({ sender, std::move(message) });
}

auto GossipNode::takeVersions(const GossipMessage& message, MonotonicTime now, Envelopes& out) -> void
{
    std::vector<MemberUpdate> push;
    for (const auto& update : message.updates) {
        m_exchangedBytes += estimatedEncodedBytes(update);
        const auto* const known = beliefAbout(update.address);
        if (known == nullptr) {
            if (update.state != MemberState::Dead && m_wanted.size() < maximumWanted)
                m_wanted.push_back(update.address);
            continue;
        }
        if (known->isNewerThan(update) && known->state != MemberState::Suspect && push.size() < maximumPush)
            push.push_back(withoutProfile(*known));
        merge(update, Source::Exchange, now);
        const auto hasOlderProfile
            = known->generation == update.generation && known->profileVersion < update.profileVersion;
        if (hasOlderProfile && update.address != m_self.address && m_wanted.size() < maximumWanted)
            m_wanted.push_back(update.address);
    }
    const auto foundDifference = !push.empty() || !m_wanted.empty();
    m_isNew = false;
    if (foundDifference)
        pullNext(message.sender.address, std::move(push), out);
    scheduleExchange(now, foundDifference);
}

auto GossipNode::pullNext(const std::string& from, std::vector<MemberUpdate> push, Envelopes& out) -> void
{
    ExchangePull pull;
    while (!m_wanted.empty() && pull.addresses.size() < maximumPull) {
        pull.addresses.push_back(std::move(m_wanted.back()));
        m_wanted.pop_back();
    }
    auto message = makeMessage(std::move(pull));
    message.updates = std::move(push);
    out.push_back({ from, std::move(message) });
}

auto GossipNode::answerPull(const ExchangePull& pull, const std::string& sender, Envelopes& out) -> void
{
    auto message = makeMessage(ExchangeProfiles {});
    std::size_t bytes = messageOverheadBytes;
    for (const auto& address : pull.addresses) {
        const auto* const belief = beliefAbout(address);
        if (belief == nullptr || !belief->profile)
            continue;
        bytes += estimatedEncodedBytes(*belief);
        if (bytes > m_options.exchangeBytes)
            break;
        message.updates.push_back(*belief);
    }
    out.push_back({ sender, std::move(message) });
}

auto GossipNode::takeProfiles(const GossipMessage& message, MonotonicTime now, Envelopes& out) -> void
{
    for (const auto& update : message.updates) {
        m_exchangedBytes += estimatedEncodedBytes(update);
        merge(update, Source::Exchange, now);
    }
    std::erase_if(m_wanted, [this](const std::string& address) { return address == m_self.address; });
    if (!m_wanted.empty() && !message.updates.empty())
        pullNext(message.sender.address, {}, out);
    m_wanted.resize(message.updates.empty() ? 0 : m_wanted.size());
    scheduleExchange(now, true);
}

auto GossipNode::digest(std::size_t bucketCount) const -> internal::TableDigest
{
    internal::TableDigest digest(bucketCount);
    digest.add(m_self);
    for (const auto& member : m_table.members())
        digest.add(member.record);
    return digest;
}

auto GossipNode::makeMessage(GossipBody body) const -> GossipMessage
{
    return { withoutProfile(m_self), m_configurationVersion, m_seatEpoch, {}, std::move(body) };
}

auto GossipNode::send(const std::string& to, GossipBody body, Envelopes& out) -> void
{
    const auto isDigest = std::holds_alternative<ExchangeDigest>(body);
    auto message = makeMessage(std::move(body));
    const auto* const belief = beliefAbout(to);
    if (isDigest && (m_isNew || belief == nullptr || belief->state != MemberState::Alive))
        message.sender.profile = m_self.profile;
    addUpdates(to, message);
    m_versionSends -= m_versionSends > 0 ? 1 : 0;
    out.push_back({ to, std::move(message) });
}

auto GossipNode::addUpdates(const std::string& to, GossipMessage& message) -> void
{
    auto bytes = messageOverheadBytes;
    const auto* const receiver = beliefAbout(to);
    if (receiver != nullptr && receiver->state != MemberState::Alive) {
        message.updates.push_back(withoutProfile(*receiver));
        bytes += estimatedEncodedBytes(message.updates.back());
    }
    // Suspicions and their refutations are small and must get through even when profiles have used the rate up.
    const auto isThrifty = m_gossipTokens < 0;
    const auto limit = isThrifty ? bytes + thriftyBytes : m_options.datagramBytes;
    const auto sends = maximumSends();
    const auto bytesBefore = bytes;
    std::vector<std::string> sent;
    for (const auto* const entry : m_queue.candidates(updatesConsidered)) {
        const auto* const belief = beliefAbout(entry->address);
        auto update
            = belief == nullptr ? MemberUpdate { entry->address, 0, 0, MemberState::Alive, 0, nullptr } : *belief;
        if (!entry->withProfile)
            update.profile = nullptr;
        if (estimatedEncodedBytes(update) > m_options.datagramBytes - messageOverheadBytes)
            update.profile = nullptr; // too large for a datagram: left to the exchanges
        const auto size = estimatedEncodedBytes(update);
        if (bytes + size > limit || (isThrifty && entry->withProfile))
            continue;
        sent.push_back(entry->address);
        if (belief == nullptr || entry->address == to)
            continue;
        bytes += size;
        message.updates.push_back(std::move(update));
    }
    for (const auto& address : sent)
        m_queue.countSend(address, sends);
    m_gossipTokens -= static_cast<double>(bytes - bytesBefore);
}

auto GossipNode::beliefAbout(const std::string& address) const -> const MemberUpdate*
{
    if (address == m_self.address)
        return &m_self;
    const auto* const member = m_table.find(address);
    return member == nullptr ? nullptr : &member->record;
}

auto GossipNode::maximumSends() const -> std::uint32_t
{
    return m_options.extraSends
        + static_cast<std::uint32_t>(std::ceil(std::log(static_cast<double>(m_table.size() + 2))));
}

} // namespace coriandergate::member
