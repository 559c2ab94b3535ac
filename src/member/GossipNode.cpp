#include "member/GossipNode.h"

#include "base/Hash.h"
#include "member/GossipCodec.h"
#include "member/MemberProfile.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace coriandergate::member {

namespace {

    constexpr std::uint32_t maximumLocalHealthScore = 4;

    // A node that received nothing for this many probe intervals is isolated; it waits this many suspicion timeouts
    // before it declares a suspect dead.
    constexpr std::uint32_t isolationMultiplier = 3;

    constexpr std::size_t maximumProfilesPerPull = 150;
    constexpr std::size_t maximumUpdatesPerPush = 200;
    constexpr std::size_t maximumPendingPulls = 8192;
    constexpr std::size_t maximumVerificationsPerTick = 16;
    constexpr std::size_t maximumRelayedPings = 256;
    constexpr std::size_t messageOverheadBytes = 60;
    constexpr std::size_t maximumUpdateCandidates = 40; // per datagram
    constexpr std::size_t leaveFanout = 6;
    constexpr std::size_t overRateUpdateBytes = 240; // per datagram while the gossip rate is exceeded
    constexpr std::chrono::seconds removalInterval { 5 };
    constexpr std::chrono::seconds maximumQueueTime { 20 }; // of an update

    auto withoutProfile(MemberUpdate record) -> MemberUpdate
    {
        record.profile = nullptr;
        return record;
    }

    auto withoutTargets(const MemberProfile& profile) -> std::shared_ptr<const MemberProfile>
    {
        auto copy = std::make_shared<MemberProfile>();
        copy->incarnation = profile.incarnation;
        copy->locality = profile.locality;
        return copy;
    }

    auto hasReachableMember(const std::vector<Member>& members) -> bool
    {
        return std::any_of(members.begin(), members.end(),
            [](const Member& member) { return member.record.state <= MemberState::Suspect; });
    }

}

GossipNode::GossipNode(const Options& options, MonotonicTime now)
    : m_options(options)
    , m_table(options.locality, options.minimumCrossRegionShare)
    , m_random(static_cast<std::mt19937::result_type>(hashOf(options.identity.address, options.randomSeed)))
    , m_seeds(options.seeds)
    , m_gossipTokens(options.gossipBurstBytes)
    , m_lastTickAt(now)
    , m_lastReceivedAt(now)
    , m_nextExchangeAt(now)
    , m_nextRemovalAt(now + removalInterval)
{
    m_self.address = options.identity.address;
    m_self.generation = options.generation;
    m_self.profileVersion = 1;
    auto profile = std::make_shared<MemberProfile>();
    profile->incarnation = options.identity.incarnation;
    profile->locality = options.locality;
    m_self.profile = std::move(profile);
    std::erase(m_seeds, m_self.address);
    // A random phase spreads the periodic work of daemons that start simultaneously over the interval.
    const auto phase = std::uniform_int_distribution<std::int64_t>(0, m_options.probeInterval.count() - 1)(m_random);
    m_nextProbeAt = now + std::chrono::milliseconds(phase);
    m_nextGossipAt = now + std::chrono::milliseconds(phase) % m_options.gossipInterval;
    m_nextReconnectAt = now + m_options.reconnectInterval + std::chrono::milliseconds(phase);
    m_nextProfileAt = now;
}

auto GossipNode::tick(MonotonicTime now) -> Envelopes
{
    Envelopes out;
    detectPause(now);
    publishProfile(now);
    checkProbeTimeout(now, out);
    startProbe(now, out);
    expireSuspicions(now);
    sendGossip(now, out);
    startExchange(now, out);
    removeExpired(now);
    return out;
}

auto GossipNode::detectPause(MonotonicTime now) -> void
{
    const auto gap = now - std::exchange(m_lastTickAt, now);
    const auto refill = m_options.gossipBytesPerSecond * std::chrono::duration<double>(gap).count();
    m_gossipTokens = std::min(m_options.gossipBurstBytes, m_gossipTokens + refill);
    if (gap <= m_options.pauseThreshold)
        return;
    // Messages may have queued up during the pause, so an overdue Ack says nothing about the other daemons.
    ++m_counters.pauses;
    m_probe.reset();
    m_lastReceivedAt += gap;
    for (const auto& address : m_suspects) {
        if (auto* const member = m_table.find(address))
            member->suspicionExpiresAt += gap;
    }
}

auto GossipNode::publishProfile(MonotonicTime now) -> void
{
    if (!m_pendingTargets || now < m_nextProfileAt)
        return;
    auto targets = std::exchange(m_pendingTargets, std::nullopt);
    if (*targets == m_self.profile->targets)
        return;
    auto profile = std::make_shared<MemberProfile>(*m_self.profile);
    profile->targets = std::move(*targets);
    m_self.profile = std::move(profile);
    ++m_self.profileVersion;
    m_queue.push(m_self.address, true, now);
    m_nextProfileAt = now + m_options.minimumProfileInterval;
}

auto GossipNode::checkProbeTimeout(MonotonicTime now, Envelopes& out) -> void
{
    if (!m_probe)
        return;
    if (now >= m_probe->startedAt + m_options.probeInterval * localHealthMultiplier())
        endProbe(false, now);
    else if (!m_probe->isIndirect && now >= m_probe->startedAt + m_options.directTimeout * localHealthMultiplier())
        sendIndirectProbes(now, out);
}

auto GossipNode::startProbe(MonotonicTime now, Envelopes& out) -> void
{
    for (std::size_t count = 0; count < maximumVerificationsPerTick && !m_deathsToVerify.empty(); ++count) {
        send(m_deathsToVerify.back(), Ping { ++m_sequence }, out);
        m_deathsToVerify.pop_back();
    }
    if (m_probe || now < m_nextProbeAt)
        return;
    m_nextProbeAt = std::max(m_nextProbeAt + m_options.probeInterval, now);
    const auto* const member = m_table.nextToProbe(m_random, now);
    if (member == nullptr)
        return;
    m_probe = Probe { member->record.address, ++m_sequence, now, false };
    ++m_counters.probes;
    send(m_probe->address, Ping { m_probe->sequence }, out);
}

auto GossipNode::sendIndirectProbes(MonotonicTime now, Envelopes& out) -> void
{
    m_probe->isIndirect = true;
    // Retry the direct ping as well: the most likely cause of a missing Ack is a single lost datagram.
    send(m_probe->address, Ping { m_probe->sequence }, out);
    for (std::uint32_t i = 0; i < m_options.indirectProbes; ++i) {
        const auto* const intermediary = m_table.randomReachable(m_random, now);
        if (intermediary != nullptr && intermediary->record.address != m_probe->address)
            send(intermediary->record.address, IndirectPing { m_probe->sequence, m_probe->address }, out);
    }
}

auto GossipNode::endProbe(bool isAnswered, MonotonicTime now) -> void
{
    const auto probe = *std::exchange(m_probe, std::nullopt);
    if (isAnswered) {
        m_localHealthScore -= m_localHealthScore > 0 ? 1 : 0;
        return;
    }
    ++m_counters.failedProbes;
    m_localHealthScore = std::min(m_localHealthScore + 1, maximumLocalHealthScore);
    if (auto* const member = m_table.find(probe.address);
        member != nullptr && member->record.state == MemberState::Alive)
        markSuspect(*member, now);
}

auto GossipNode::markSuspect(Member& member, MonotonicTime now) -> void
{
    ++m_counters.suspicions;
    member.record.state = MemberState::Suspect;
    member.stateChangedAt = now;
    // When nothing arrives from anyone, this node's own connectivity is the most likely cause: the suspicion is not
    // disseminated and takes longer to expire.
    const auto isNodeIsolated = isIsolated(now);
    member.suspicionExpiresAt = now + m_options.suspicionTimeout * (isNodeIsolated ? isolationMultiplier : 1);
    m_suspects.push_back(member.record.address);
    if (!isNodeIsolated)
        m_queue.push(member.record.address, false, now);
    ++m_version;
}

auto GossipNode::expireSuspicions(MonotonicTime now) -> void
{
    std::erase_if(m_suspects, [this, now](const std::string& address) {
        auto* const member = m_table.find(address);
        if (member == nullptr || member->record.state != MemberState::Suspect)
            return true;
        if (now < member->suspicionExpiresAt)
            return false;
        declareDead(*member, now);
        return true;
    });
}

auto GossipNode::declareDead(Member& member, MonotonicTime now) -> void
{
    ++m_counters.deaths;
    member.record.state = MemberState::Dead;
    member.stateChangedAt = now;
    m_table.invalidateGroups();
    ++m_version;
    if (!isIsolated(now))
        m_queue.push(member.record.address, false, now);
}

auto GossipNode::sendGossip(MonotonicTime now, Envelopes& out) -> void
{
    if (now < m_nextGossipAt)
        return;
    m_nextGossipAt = std::max(m_nextGossipAt + m_options.gossipInterval, now);
    for (std::uint32_t i = 0; i < m_options.gossipFanout; ++i) {
        if (m_queue.isEmpty() && m_versionSendsLeft == 0)
            return;
        const auto* const member = m_table.randomReachable(m_random, now);
        if (member == nullptr)
            return;
        send(member->record.address, UpdatesOnly {}, out);
    }
}

auto GossipNode::startExchange(MonotonicTime now, Envelopes& out) -> void
{
    const auto isReconnecting = now >= m_nextReconnectAt;
    if (now < m_nextExchangeAt && !isReconnecting)
        return;
    auto peer = isReconnecting ? std::string() : randomExchangePeer(now);
    if (isReconnecting || peer.empty()) {
        m_nextReconnectAt = now + m_options.reconnectInterval;
        const auto* const dead = m_table.randomDead(m_random, now);
        const auto usesSeed = !m_seeds.empty() && (dead == nullptr || m_random() % 2 == 0);
        if (usesSeed)
            peer = m_seeds[m_random() % m_seeds.size()];
        else if (dead != nullptr)
            peer = dead->record.address;
        // Regular exchanges already cover members that are alive, including seeds.
        const auto* const member = m_table.find(peer);
        if (isReconnecting && member != nullptr && member->record.state == MemberState::Alive)
            return;
    }
    scheduleExchange(now, m_table.size() == 0);
    if (peer.empty())
        return;
    ++m_counters.exchanges;
    m_lastExchangeBytes = 0;
    const auto bucketCount = internal::TableDigest::bucketCountFor(m_table.size());
    send(peer, ExchangeDigest { makeDigest(bucketCount).hashes() }, out);
}

auto GossipNode::randomExchangePeer(MonotonicTime now) -> std::string
{
    const auto* const member = m_table.randomReachable(m_random, now);
    return member == nullptr ? std::string() : member->record.address;
}

auto GossipNode::scheduleExchange(MonotonicTime now, bool foundDifference) -> void
{
    const std::chrono::milliseconds base
        = foundDifference ? m_options.exchangeRetryInterval : m_options.exchangeInterval;
    const auto jitter = std::uniform_real_distribution<>(0.75, 1.25)(m_random);
    const auto rateLimitWait
        = std::chrono::duration<double>(static_cast<double>(m_lastExchangeBytes) / m_options.exchangeBytesPerSecond);
    const auto wait = std::max<std::chrono::duration<double>>(base * jitter, rateLimitWait);
    m_nextExchangeAt = now + std::chrono::duration_cast<MonotonicDuration>(wait);
}

auto GossipNode::removeExpired(MonotonicTime now) -> void
{
    if (now < m_nextRemovalAt)
        return;
    m_nextRemovalAt = now + removalInterval;
    m_queue.eraseQueuedBefore(now - maximumQueueTime);
    std::erase_if(m_relayedPings, [now](const auto& relayedPing) { return relayedPing.second.expiresAt <= now; });
    for (const auto& member : m_table.members()) {
        const auto hasLeft
            = member.record.state == MemberState::Leaving && now >= member.stateChangedAt + m_options.leavingRetention;
        if (hasLeft) {
            auto* const departed = m_table.find(member.record.address);
            departed->record.state = MemberState::Dead;
            departed->stateChangedAt = now;
            m_table.invalidateGroups();
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
        const auto relayedPing = node.m_relayedPings.find(body.sequence);
        if (relayedPing != node.m_relayedPings.end()) {
            node.send(relayedPing->second.requester, Ack { relayedPing->second.sequence }, out);
            node.m_relayedPings.erase(relayedPing);
        }
        if (node.m_probe && node.m_probe->sequence == body.sequence)
            node.endProbe(true, now);
    }

    auto operator()(const IndirectPing& body) const -> void
    {
        if (node.m_relayedPings.size() >= maximumRelayedPings)
            return;
        const auto sequence = ++node.m_sequence;
        node.m_relayedPings[sequence] = { message.sender.address, body.sequence, now + node.m_options.probeInterval };
        node.send(body.address, Ping { sequence }, out);
    }

    auto operator()(const UpdatesOnly&) const -> void { }

    auto operator()(const ExchangeDigest& body) const -> void
    {
        node.respondToDigest(body, message.sender.address, out);
    }
    auto operator()(const ExchangeVersions&) const -> void { node.handleVersions(message, now, out); }
    auto operator()(const ExchangePull& body) const -> void { node.respondToPull(body, message.sender.address, out); }
    auto operator()(const ExchangeProfiles&) const -> void { node.handleProfiles(message, now, out); }
};

auto GossipNode::receive(const GossipMessage& message, MonotonicTime now) -> Envelopes
{
    Envelopes out;
    if (message.sender.address == m_self.address)
        return out;
    m_lastReceivedAt = now;
    raiseKnownVersions(message.configurationVersion, message.seatEpoch);
    const auto isResponse = std::holds_alternative<ExchangeVersions>(message.body)
        || std::holds_alternative<ExchangeProfiles>(message.body);
    merge(message.sender, Source::Gossip, now);
    if (!isResponse) {
        const auto isPull = std::holds_alternative<ExchangePull>(message.body);
        for (const auto& update : message.updates)
            merge(update, isPull ? Source::Exchange : Source::Gossip, now);
    }
    std::visit(BodyHandler { *this, message, now, out }, message.body);
    // A sender recorded as suspect or dead is told so, so that it can refute it.
    const auto* const sender = findRecord(message.sender.address);
    if (out.empty() && sender != nullptr
        && (sender->state == MemberState::Suspect || sender->state == MemberState::Dead))
        send(message.sender.address, UpdatesOnly {}, out);
    return out;
}

auto GossipNode::setTargets(std::vector<RemoteTarget> targets) -> void { m_pendingTargets = std::move(targets); }

auto GossipNode::raiseKnownVersions(std::uint64_t configurationVersion, std::uint64_t seatEpoch) -> void
{
    if (configurationVersion <= m_configurationVersion && seatEpoch <= m_seatEpoch)
        return;
    m_configurationVersion = std::max(m_configurationVersion, configurationVersion);
    m_seatEpoch = std::max(m_seatEpoch, seatEpoch);
    m_versionSendsLeft = maximumSendsPerUpdate();
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
    ++m_self.refutationNumber;
    m_queue.push(m_self.address, false, now);
    for (std::size_t i = 0; i < leaveFanout; ++i) {
        if (const auto* const member = m_table.randomReachable(m_random, now))
            send(member->record.address, UpdatesOnly {}, out);
    }
    return out;
}

auto GossipNode::isIsolated(MonotonicTime now) const -> bool
{
    return now >= m_lastReceivedAt + m_options.probeInterval * isolationMultiplier
        && hasReachableMember(m_table.members());
}

auto GossipNode::merge(const MemberUpdate& update, Source source, MonotonicTime now) -> void
{
    if (update.address == m_self.address) {
        mergeSelf(update, now);
        return;
    }
    auto* const member = m_table.find(update.address);
    if (member == nullptr) {
        mergeNewMember(update, source, now);
        return;
    }
    mergeState(*member, update, source, now);
    mergeProfile(*member, update, source, now);
}

auto GossipNode::mergeSelf(const MemberUpdate& update, MonotonicTime now) -> void
{
    const auto isOutdated = update.generation < m_self.generation
        || (update.generation == m_self.generation && update.refutationNumber < m_self.refutationNumber);
    if (isOutdated)
        return;
    if (update.generation > m_self.generation) {
        // Another run at this address used a higher generation, for example because the wall clock has been set back.
        m_self.generation = update.generation + 1;
        m_self.refutationNumber = 0;
        m_queue.push(m_self.address, true, now);
    } else if (update.state > m_self.state || update.refutationNumber > m_self.refutationNumber) {
        m_self.refutationNumber = std::max(m_self.refutationNumber, update.refutationNumber);
        refute(now);
    }
}

auto GossipNode::refute(MonotonicTime now) -> void
{
    ++m_counters.refutations;
    ++m_self.refutationNumber;
    m_queue.push(m_self.address, false, now);
    m_localHealthScore = std::min(m_localHealthScore + 1, maximumLocalHealthScore);
}

auto GossipNode::mergeNewMember(const MemberUpdate& update, Source source, MonotonicTime now) -> void
{
    if (update.state == MemberState::Dead || m_table.size() >= m_options.maximumMembers)
        return;
    if (!update.profile) {
        if (m_pendingPulls.size() < maximumPendingPulls)
            m_pendingPulls.push_back(update.address);
        m_nextExchangeAt = std::min(m_nextExchangeAt, now + m_options.exchangeRetryInterval);
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
    auto& record = member.record;
    if (!update.isNewerThan(record))
        return;
    const auto isUnverifiedDeath = source == Source::Exchange && update.state == MemberState::Dead
        && record.state < MemberState::Leaving && update.generation == record.generation;
    if (isUnverifiedDeath) {
        // After a partition each side records the other side as dead. The member is pinged and only suspected, so that
        // it can refute its death when it is reachable.
        m_deathsToVerify.push_back(update.address);
        if (record.state == MemberState::Suspect)
            return;
        record.refutationNumber = update.refutationNumber;
        record.state = MemberState::Suspect;
        member.stateChangedAt = now;
        member.suspicionExpiresAt = now + m_options.suspicionTimeout;
        m_suspects.push_back(record.address);
        ++m_version;
        return;
    }
    if (update.generation > record.generation && record.profile) {
        record.profile = withoutTargets(*record.profile);
        record.profileVersion = 0;
    }
    const auto previousState = record.state;
    record.generation = update.generation;
    record.refutationNumber = update.refutationNumber;
    record.state = update.state;
    if (record.state == MemberState::Suspect && previousState != MemberState::Suspect) {
        member.suspicionExpiresAt = now + m_options.suspicionTimeout;
        m_suspects.push_back(record.address);
    }
    if (previousState != record.state) {
        member.stateChangedAt = now;
        m_table.invalidateGroups();
    }
    ++m_version;
    if (source == Source::Gossip)
        m_queue.push(record.address, false, now);
}

auto GossipNode::mergeProfile(Member& member, const MemberUpdate& update, Source source, MonotonicTime now) -> void
{
    auto& record = member.record;
    if (!update.profile || update.generation != record.generation || update.profileVersion <= record.profileVersion)
        return;
    if (!record.profile || record.profile->locality != update.profile->locality)
        m_table.invalidateGroups();
    record.profile = update.profile;
    record.profileVersion = update.profileVersion;
    ++m_version;
    if (source == Source::Gossip)
        m_queue.push(record.address, true, now);
}

auto GossipNode::respondToDigest(const ExchangeDigest& received, const std::string& sender, Envelopes& out) -> void
{
    const auto own = makeDigest(received.bucketHashes.size());
    auto message = makeMessage(ExchangeVersions {});
    std::size_t bytes = messageOverheadBytes;
    const auto add = [&](const MemberUpdate& record) {
        const auto size = estimatedEncodedBytes(withoutProfile(record));
        if (!own.differsAt(record.address, received.bucketHashes)
            || bytes + size > m_options.maximumExchangeResponseBytes)
            return;
        bytes += size;
        message.updates.push_back(withoutProfile(record));
    };
    add(m_self);
    for (const auto& member : m_table.members())
        add(member.record);
    out.push_back({ sender, std::move(message) });
}

auto GossipNode::handleVersions(const GossipMessage& message, MonotonicTime now, Envelopes& out) -> void
{
    std::vector<MemberUpdate> push;
    for (const auto& update : message.updates) {
        m_lastExchangeBytes += estimatedEncodedBytes(update);
        const auto* const known = findRecord(update.address);
        if (known == nullptr) {
            if (update.state != MemberState::Dead && m_pendingPulls.size() < maximumPendingPulls)
                m_pendingPulls.push_back(update.address);
            continue;
        }
        if (known->isNewerThan(update) && known->state != MemberState::Suspect && push.size() < maximumUpdatesPerPush)
            push.push_back(withoutProfile(*known));
        merge(update, Source::Exchange, now);
        const auto hasOlderProfile
            = known->generation == update.generation && known->profileVersion < update.profileVersion;
        if (hasOlderProfile && update.address != m_self.address && m_pendingPulls.size() < maximumPendingPulls)
            m_pendingPulls.push_back(update.address);
    }
    const auto foundDifference = !push.empty() || !m_pendingPulls.empty();
    m_isJoining = false;
    if (foundDifference)
        sendPull(message.sender.address, std::move(push), out);
    scheduleExchange(now, foundDifference);
}

auto GossipNode::sendPull(const std::string& to, std::vector<MemberUpdate> push, Envelopes& out) -> void
{
    ExchangePull pull;
    while (!m_pendingPulls.empty() && pull.addresses.size() < maximumProfilesPerPull) {
        pull.addresses.push_back(std::move(m_pendingPulls.back()));
        m_pendingPulls.pop_back();
    }
    auto message = makeMessage(std::move(pull));
    message.updates = std::move(push);
    out.push_back({ to, std::move(message) });
}

auto GossipNode::respondToPull(const ExchangePull& pull, const std::string& sender, Envelopes& out) -> void
{
    auto message = makeMessage(ExchangeProfiles {});
    std::size_t bytes = messageOverheadBytes;
    for (const auto& address : pull.addresses) {
        const auto* const record = findRecord(address);
        if (record == nullptr || !record->profile)
            continue;
        bytes += estimatedEncodedBytes(*record);
        if (bytes > m_options.maximumExchangeResponseBytes)
            break;
        message.updates.push_back(*record);
    }
    out.push_back({ sender, std::move(message) });
}

auto GossipNode::handleProfiles(const GossipMessage& message, MonotonicTime now, Envelopes& out) -> void
{
    for (const auto& update : message.updates) {
        m_lastExchangeBytes += estimatedEncodedBytes(update);
        merge(update, Source::Exchange, now);
    }
    std::erase_if(m_pendingPulls, [this](const std::string& address) { return address == m_self.address; });
    if (!m_pendingPulls.empty() && !message.updates.empty())
        sendPull(message.sender.address, {}, out);
    m_pendingPulls.resize(message.updates.empty() ? 0 : m_pendingPulls.size());
    scheduleExchange(now, true);
}

auto GossipNode::makeDigest(std::size_t bucketCount) const -> internal::TableDigest
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
    const auto* const record = findRecord(to);
    if (isDigest && (m_isJoining || record == nullptr || record->state != MemberState::Alive))
        message.sender.profile = m_self.profile;
    addUpdates(to, message);
    m_versionSendsLeft -= m_versionSendsLeft > 0 ? 1 : 0;
    out.push_back({ to, std::move(message) });
}

auto GossipNode::addUpdates(const std::string& to, GossipMessage& message) -> void
{
    auto bytes = messageOverheadBytes;
    const auto* const receiver = findRecord(to);
    if (receiver != nullptr && receiver->state != MemberState::Alive) {
        message.updates.push_back(withoutProfile(*receiver));
        bytes += estimatedEncodedBytes(message.updates.back());
    }
    // Suspicions and refutations are small and must be delivered even when profiles have exhausted the rate limit.
    const auto isOverRate = m_gossipTokens < 0;
    const auto limit = isOverRate ? bytes + overRateUpdateBytes : m_options.maximumDatagramBytes;
    const auto maximumSends = maximumSendsPerUpdate();
    const auto bytesBefore = bytes;
    std::vector<std::string> sent;
    for (const auto* const entry : m_queue.candidates(maximumUpdateCandidates)) {
        const auto* const record = findRecord(entry->address);
        auto update
            = record == nullptr ? MemberUpdate { entry->address, 0, 0, MemberState::Alive, 0, nullptr } : *record;
        if (!entry->includesProfile)
            update.profile = nullptr;
        if (estimatedEncodedBytes(update) > m_options.maximumDatagramBytes - messageOverheadBytes)
            update.profile = nullptr; // too large for a datagram: delivered by the exchanges
        const auto size = estimatedEncodedBytes(update);
        if (bytes + size > limit || (isOverRate && entry->includesProfile))
            continue;
        sent.push_back(entry->address);
        if (record == nullptr || entry->address == to)
            continue;
        bytes += size;
        message.updates.push_back(std::move(update));
    }
    for (const auto& address : sent)
        m_queue.recordSend(address, maximumSends);
    m_gossipTokens -= static_cast<double>(bytes - bytesBefore);
}

auto GossipNode::findRecord(const std::string& address) const -> const MemberUpdate*
{
    if (address == m_self.address)
        return &m_self;
    const auto* const member = m_table.find(address);
    return member == nullptr ? nullptr : &member->record;
}

auto GossipNode::maximumSendsPerUpdate() const -> std::uint32_t
{
    return m_options.extraSends
        + static_cast<std::uint32_t>(std::ceil(std::log(static_cast<double>(m_table.size() + 2))));
}

} // namespace coriandergate::member
