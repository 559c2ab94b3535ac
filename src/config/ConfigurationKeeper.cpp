#include "config/ConfigurationKeeper.h"

#include "config/ConfigurationDelta.h"
#include "config/PollerElection.h"
#include "config/Snapshot.h"
#include "config/SnapshotCodec.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace coriandergate::config {

namespace {

    constexpr std::uint64_t remoteAskShare = 8; // one question in so many goes to any data centre
    constexpr double leastJitter = 0.75; // of an interval
    constexpr double mostJitter = 1.25; // of an interval
    constexpr std::size_t mostBackoffDoublings = 10;
    constexpr std::size_t mostHeardHeads = 64; // of peers; what is left out comes again
    constexpr int bootstrapWaitsBeforeStore = 3; // for a daemon that is no poller

    auto addressesOfDataCentre(std::span<const KeeperPeer> peers) -> std::vector<std::string>
    {
        std::vector<std::string> addresses;
        for (const auto& peer : peers) {
            if (peer.isSameDataCentre)
                addresses.push_back(peer.address);
        }
        return addresses;
    }

    auto allAddresses(std::span<const KeeperPeer> peers) -> std::vector<std::string>
    {
        std::vector<std::string> addresses;
        for (const auto& peer : peers)
            addresses.push_back(peer.address);
        return addresses;
    }

} // namespace

ConfigurationKeeper::ConfigurationKeeper(std::string self, const KeeperOptions& options, std::uint64_t seed)
    : m_self(std::move(self))
    , m_options(options)
    , m_random(seed)
{
}

auto ConfigurationKeeper::tick(MonotonicTime now, std::span<const KeeperPeer> peers) -> std::vector<KeeperAction>
{
    const MutexLock lock(m_mutex);
    if (!m_firstTick)
        m_firstTick = now;
    std::vector<KeeperAction> actions;
    if (const auto poll = tickPollLocked(now, peers))
        actions.emplace_back(*poll);
    for (auto& ask : tickAskLocked(now, peers))
        actions.emplace_back(std::move(ask));
    if (auto pull = tickPullLocked(now))
        actions.emplace_back(*std::move(pull));
    for (auto& announcement : tickAnnounceLocked(peers))
        actions.emplace_back(std::move(announcement));
    return actions;
}

auto ConfigurationKeeper::tickPollLocked(MonotonicTime now, std::span<const KeeperPeer> peers)
    -> std::optional<PollStore>
{
    if (now < m_nextPoll || !isPollDueLocked(now, peers))
        return std::nullopt;
    const auto isElected = !peers.empty() && m_head.version != 0;
    m_nextPoll = now + jitterLocked(isElected ? m_options.pollInterval : m_options.lonePollInterval);
    return PollStore {};
}

auto ConfigurationKeeper::isPollDueLocked(MonotonicTime now, std::span<const KeeperPeer> peers) const -> bool
{
    if (isPoller(m_self, addressesOfDataCentre(peers), m_options.pollersPerDataCentre))
        return true;
    // The others of a data centre that starts as a whole leave its pollers the time to fetch and pass on.
    return m_head.version == 0 && now >= *m_firstTick + bootstrapWaitsBeforeStore * m_options.bootstrapWait;
}

auto ConfigurationKeeper::tickAskLocked(MonotonicTime now, std::span<const KeeperPeer> peers) -> std::vector<AskPeer>
{
    if (now < m_nextAsk || peers.empty())
        return {};
    m_nextAsk = now + jitterLocked(m_options.askInterval);
    auto candidates = addressesOfDataCentre(peers);
    if (candidates.empty() || m_random() % remoteAskShare == 0)
        candidates = allAddresses(peers);
    std::shuffle(candidates.begin(), candidates.end(), m_random);
    const auto count = m_head.version == 0 ? m_options.bootstrapPeers : std::size_t { 1 };
    candidates.resize(std::min(candidates.size(), count));
    std::vector<AskPeer> asks;
    for (auto& candidate : candidates)
        asks.push_back({ std::move(candidate) });
    return asks;
}

auto ConfigurationKeeper::tickPullLocked(MonotonicTime now) -> std::optional<Pull>
{
    if ((m_nextPull && now < *m_nextPull) || isBootstrappingLocked(now))
        return std::nullopt;
    m_nextPull.reset();
    const auto stored = m_storeHead ? m_storeHead->head : ConfigurationHead {};
    // What the store names comes before what peers say, true or not; a peer that has it spares the store a read.
    const auto isStoreAhead = stored.version > m_head.version;
    Pull pull { {}, m_head, isStoreAhead ? stored : m_head };
    for (const auto& [peer, heard] : m_peerHeads) {
        const auto isWanted = isStoreAhead ? heard.head == stored : heard.head.version > pull.to.version;
        if (isWanted)
            pull = { peer, m_head, heard.head };
    }
    if (pull.to == m_head)
        return std::nullopt;
    m_nextPull = now + (m_head.version == 0 ? m_options.snapshotTimeout : m_options.deltaTimeout);
    return pull;
}

auto ConfigurationKeeper::tickAnnounceLocked(std::span<const KeeperPeer> peers) -> std::vector<AnnounceToPeer>
{
    if (!std::exchange(m_isAnnouncing, false))
        return {};
    auto candidates = addressesOfDataCentre(peers);
    std::shuffle(candidates.begin(), candidates.end(), m_random);
    candidates.resize(std::min(candidates.size(), m_options.announceFanout));
    std::vector<AnnounceToPeer> announcements;
    for (auto& candidate : candidates)
        announcements.push_back({ std::move(candidate), m_head });
    return announcements;
}

auto ConfigurationKeeper::isBootstrappingLocked(MonotonicTime now) const -> bool
{
    // The first peer to answer may be behind; the store's word, or several peers', or the time, ends the wait.
    return m_head.version == 0 && !m_storeHead && m_answeredPeers.size() < m_options.bootstrapPeers
        && now < *m_firstTick + m_options.bootstrapWait;
}

auto ConfigurationKeeper::onStoreHead(const std::optional<ConfigurationHead>& head, MonotonicTime askedAt) -> void
{
    const MutexLock lock(m_mutex);
    m_storeFailures = 0;
    // Answers may overtake each other.
    if (m_storeHead && askedAt < m_storeHead->askedAt)
        return;
    m_storeHead = HeardHead { head.value_or(ConfigurationHead {}), askedAt };
    noteContactLocked(*m_storeHead);
}

auto ConfigurationKeeper::onStoreFailed(MonotonicTime now) -> void
{
    const MutexLock lock(m_mutex);
    ++m_storeFailures;
    const auto doublings = std::min(m_storeFailures, mostBackoffDoublings);
    const MonotonicDuration backoff
        = std::min<MonotonicDuration>(m_options.pollInterval * (1 << doublings), m_options.longestPollBackoff);
    m_nextPoll = std::max(m_nextPoll, now + jitterLocked(backoff));
}

auto ConfigurationKeeper::onPeerHead(const std::string& peer, const ConfigurationHead& head, MonotonicTime askedAt)
    -> void
{
    const MutexLock lock(m_mutex);
    const HeardHead heard { head, askedAt };
    if (m_head.version == 0)
        m_answeredPeers.insert(peer);
    if (head.version > m_head.version)
        m_peerHeads[peer] = heard;
    noteContactLocked(heard);
}

auto ConfigurationKeeper::onAnnouncement(const std::string& peer, const ConfigurationHead& head) -> void
{
    const MutexLock lock(m_mutex);
    if (m_peerHeads.size() >= mostHeardHeads)
        return;
    auto& heard = m_peerHeads[peer];
    if (head.version > std::max(m_head.version, heard.head.version))
        heard = { head, MonotonicTime::min() };
    noteNewHeadLocked();
}

auto ConfigurationKeeper::onDelta(std::span<const std::string> encoded, Error& reason) -> bool
{
    const auto before = current();
    if (!before) {
        reason = { "apply delta", {}, "there is no configuration to start from" };
        return false;
    }
    auto configuration = *before->configuration;
    std::vector<KeptDelta> deltas;
    for (const auto& bytes : encoded) {
        const auto delta = decodeDelta(bytes, reason);
        if (!delta)
            return false;
        auto after = applyDelta(configuration, *delta, reason);
        if (!after)
            return false;
        configuration = *std::move(after);
        deltas.push_back({ delta->from, delta->to, bytes });
    }
    if (deltas.empty()) {
        reason = { "apply delta", {}, "there is none" };
        return false;
    }
    const auto to = deltas.back().to;
    auto accepted = std::make_shared<const Configuration>(std::move(configuration));
    return publish(std::make_shared<const Snapshot>(std::move(accepted)), to, std::move(deltas), reason);
}

auto ConfigurationKeeper::onSnapshot(std::string_view encoded, const ConfigurationHead& head, Error& reason) -> bool
{
    auto configuration = decodeSnapshot(encoded, head, reason);
    if (!configuration)
        return false;
    auto accepted = std::make_shared<const Configuration>(*std::move(configuration));
    return publish(std::make_shared<const Snapshot>(std::move(accepted)), head, {}, reason);
}

auto ConfigurationKeeper::publish(std::shared_ptr<const Snapshot> snapshot, ConfigurationHead head,
    std::vector<KeptDelta> deltas, Error& reason) -> bool
{
    const MutexLock lock(m_mutex);
    m_nextPull.reset();
    if (head.version <= m_head.version) {
        reason = { "take configuration", head.toText(), "version " + std::to_string(m_head.version) + " is in force" };
        return false;
    }
    if (deltas.empty() || deltas.front().from != m_head)
        m_deltas.clear();
    m_deltas.insert(m_deltas.end(), std::make_move_iterator(deltas.begin()), std::make_move_iterator(deltas.end()));
    while (m_deltas.size() > m_options.keptDeltas)
        m_deltas.pop_front();
    m_current = std::move(snapshot);
    m_head = std::move(head);
    m_answeredPeers.clear();
    m_isAnnouncing = true;
    noteNewHeadLocked();
    return true;
}

auto ConfigurationKeeper::onPullFailed(const Pull& pull, MonotonicTime now) -> void
{
    const MutexLock lock(m_mutex);
    m_nextPull = now + jitterLocked(m_options.pullRetryDelay);
    if (const auto word = m_peerHeads.find(pull.peer); word != m_peerHeads.end() && word->second.head == pull.to)
        m_peerHeads.erase(word);
}

auto ConfigurationKeeper::noteContactLocked(const HeardHead& heard) -> void
{
    if (heard.head.version <= m_head.version && heard.askedAt != MonotonicTime::min())
        m_lastContact = std::max(m_lastContact.value_or(heard.askedAt), heard.askedAt);
}

auto ConfigurationKeeper::noteNewHeadLocked() -> void
{
    if (m_storeHead)
        noteContactLocked(*m_storeHead);
    for (auto word = m_peerHeads.begin(); word != m_peerHeads.end();) {
        noteContactLocked(word->second);
        word = word->second.head.version <= m_head.version ? m_peerHeads.erase(word) : std::next(word);
    }
}

auto ConfigurationKeeper::jitterLocked(MonotonicDuration interval) -> MonotonicDuration
{
    std::uniform_real_distribution<double> factor(leastJitter, mostJitter);
    return std::chrono::duration_cast<MonotonicDuration>(interval * factor(m_random));
}

auto ConfigurationKeeper::current() const -> std::shared_ptr<const Snapshot>
{
    const MutexLock lock(m_mutex);
    return m_current;
}

auto ConfigurationKeeper::head() const -> ConfigurationHead
{
    const MutexLock lock(m_mutex);
    return m_head;
}

auto ConfigurationKeeper::freshness(MonotonicTime now) const -> Freshness
{
    const MutexLock lock(m_mutex);
    if (m_head.version == 0)
        return Freshness::None;
    const auto age = m_lastContact ? now - *m_lastContact : MonotonicDuration::max();
    if (age <= m_options.keyLimit)
        return Freshness::Current;
    return age <= m_options.configurationLimit ? Freshness::KeysExpired : Freshness::Expired;
}

auto ConfigurationKeeper::contactAge(MonotonicTime now) const -> std::optional<MonotonicDuration>
{
    const MutexLock lock(m_mutex);
    return m_lastContact ? std::optional(now - *m_lastContact) : std::nullopt;
}

auto ConfigurationKeeper::storeAge(MonotonicTime now) const -> std::optional<MonotonicDuration>
{
    const MutexLock lock(m_mutex);
    return m_storeHead ? std::optional(now - m_storeHead->askedAt) : std::nullopt;
}

auto ConfigurationKeeper::isStoreBehind() const -> bool
{
    const MutexLock lock(m_mutex);
    return m_storeHead && m_storeHead->head.version < m_head.version;
}

auto ConfigurationKeeper::deltasFrom(const ConfigurationHead& from) const -> std::optional<std::vector<std::string>>
{
    const MutexLock lock(m_mutex);
    std::vector<std::string> encoded;
    for (const auto& delta : m_deltas) {
        if (!encoded.empty() || delta.from == from)
            encoded.push_back(delta.encoded);
    }
    return encoded.empty() ? std::nullopt : std::optional(std::move(encoded));
}

} // namespace coriandergate::config
