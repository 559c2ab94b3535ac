// Keeps the newest configuration of one daemon: when to ask whom for news, what to take, and how far to rely on it.
//
// The keeper decides and does no input or output. Its owner runs tick() a few times a second, carries out the actions
// and reports the outcomes; requests read current() and freshness() from any thread.
//
//   ConfigurationKeeper keeper(self.address, options, seed);
//   for (const KeeperAction& action : keeper.tick(now, livePeers))
//       carryOut(action);
//   keeper.onStoreHead(head, askedAt);
//
//   if (keeper.freshness(now) == Freshness::Current)
//       serve(*keeper.current());
//
// A version is never followed by an older one. A head that a peer names counts only until a pull shows it to be false;
// a head that the store names is never doubted. An answer counts as contact from the time of the question, not of its
// arrival, so that a daemon that was paused does not take an old answer in its receive buffer for news. And it counts
// only once this daemon has what the answer names: knowing of a newer version without having it is no contact.
#pragma once

#include "base/Clock.h"
#include "base/Error.h"
#include "base/Mutex.h"
#include "config/ConfigurationHead.h"
#include "config/Freshness.h"
#include "config/KeeperAction.h"
#include "config/KeeperOptions.h"
#include "config/KeeperPeer.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace coriandergate::config {

struct Configuration;
struct ConfigurationDelta;
struct Snapshot;

// ConfigurationKeeper is safe from any thread. Applying a delta or a snapshot takes a tenth of a second at full size,
// so onDelta() and onSnapshot() belong on a thread that serves no requests; they hold no lock meanwhile.
class ConfigurationKeeper {
public:
    // `self` is this daemon's peer address; `seed` feeds the jitter.
    ConfigurationKeeper(std::string self, const KeeperOptions& options, std::uint64_t seed);

    // tick() is what to do now. `peers` are the live members but this daemon.
    [[nodiscard]] auto tick(MonotonicTime now, std::span<const KeeperPeer> peers) -> std::vector<KeeperAction>;

    // onStoreHead() takes the answer to PollStore; nullopt when the store holds no configuration yet.
    auto onStoreHead(const std::optional<ConfigurationHead>& head, MonotonicTime askedAt) -> void;

    // onStoreFailed() takes note that PollStore got no answer.
    auto onStoreFailed(MonotonicTime now) -> void;

    // onPeerHead() takes the answer to AskPeer.
    auto onPeerHead(const std::string& peer, const ConfigurationHead& head, MonotonicTime askedAt) -> void;

    // onAnnouncement() takes an AnnounceToPeer of another daemon. It is no contact, since nobody asked.
    auto onAnnouncement(const std::string& peer, const ConfigurationHead& head) -> void;

    // onDelta() takes the deltas that answer a Pull, in order. False with the reason when they do not lead from the
    // current configuration to a newer one that their digests name.
    [[nodiscard]] auto onDelta(std::span<const std::string> encoded, Error& reason) -> bool;

    // onSnapshot() takes the snapshot that answers a Pull to `head`. False with the reason when it is not what `head`
    // names. An older one than the current is refused.
    [[nodiscard]] auto onSnapshot(std::string_view encoded, const ConfigurationHead& head, Error& reason) -> bool;

    // onPullFailed() takes note that `pull` brought nothing; a false or unreachable peer's word is dropped.
    auto onPullFailed(const Pull& pull, MonotonicTime now) -> void;

    // current() is the newest configuration; null when there is none yet.
    [[nodiscard]] auto current() const -> std::shared_ptr<const Snapshot>;

    // head() names current(); version 0 when there is none.
    [[nodiscard]] auto head() const -> ConfigurationHead;

    // freshness() is how far current() may be relied on at `now`.
    [[nodiscard]] auto freshness(MonotonicTime now) const -> Freshness;

    // contactAge() is the time since the last contact with the store or a peer; nullopt when there was none.
    [[nodiscard]] auto contactAge(MonotonicTime now) const -> std::optional<MonotonicDuration>;

    // storeAge() is the time since this daemon asked what the store last answered; nullopt when it never did.
    [[nodiscard]] auto storeAge(MonotonicTime now) const -> std::optional<MonotonicDuration>;

    // isStoreBehind() is true when the store last named a version older than current(): it has lost changes.
    [[nodiscard]] auto isStoreBehind() const -> bool;

    // deltasFrom() are the encoded deltas from `from` to current(); nullopt when they are no longer kept.
    [[nodiscard]] auto deltasFrom(const ConfigurationHead& from) const -> std::optional<std::vector<std::string>>;

private:
    struct KeptDelta {
        ConfigurationHead from;
        ConfigurationHead to;
        std::string encoded;
    };

    // What somebody named as the newest configuration, and when they were asked.
    struct HeardHead {
        ConfigurationHead head;
        MonotonicTime askedAt = MonotonicTime::min(); // nobody asked
    };

    REQUIRES(m_mutex) auto noteContactLocked(const HeardHead& heard) -> void;
    REQUIRES(m_mutex) auto noteNewHeadLocked() -> void;
    [[nodiscard]] REQUIRES(m_mutex) auto isPollDueLocked(MonotonicTime now, std::span<const KeeperPeer> peers) const
        -> bool;
    REQUIRES(m_mutex)
    auto tickPollLocked(MonotonicTime now, std::span<const KeeperPeer> peers) -> std::optional<PollStore>;
    REQUIRES(m_mutex) auto tickAskLocked(MonotonicTime now, std::span<const KeeperPeer> peers) -> std::vector<AskPeer>;
    REQUIRES(m_mutex) auto tickPullLocked(MonotonicTime now) -> std::optional<Pull>;
    REQUIRES(m_mutex) auto tickAnnounceLocked(std::span<const KeeperPeer> peers) -> std::vector<AnnounceToPeer>;
    [[nodiscard]] REQUIRES(m_mutex) auto isBootstrappingLocked(MonotonicTime now) const -> bool;
    REQUIRES(m_mutex) auto jitterLocked(MonotonicDuration interval) -> MonotonicDuration;
    auto publish(std::shared_ptr<const Snapshot> snapshot, ConfigurationHead head, std::vector<KeptDelta> deltas,
        Error& reason) -> bool;

    const std::string m_self;
    const KeeperOptions m_options;

    mutable Mutex m_mutex;
    std::mt19937_64 m_random GUARDED_BY(m_mutex);
    std::shared_ptr<const Snapshot> m_current GUARDED_BY(m_mutex);
    ConfigurationHead m_head GUARDED_BY(m_mutex);
    std::deque<KeptDelta> m_deltas GUARDED_BY(m_mutex); // the last ends at m_head
    std::optional<HeardHead> m_storeHead GUARDED_BY(m_mutex);
    std::map<std::string, HeardHead> m_peerHeads GUARDED_BY(m_mutex); // newer than m_head, by peer
    std::set<std::string> m_answeredPeers GUARDED_BY(m_mutex); // until the first configuration is there
    std::optional<MonotonicTime> m_firstTick GUARDED_BY(m_mutex);
    std::optional<MonotonicTime> m_lastContact GUARDED_BY(m_mutex);
    std::optional<MonotonicTime> m_nextPull GUARDED_BY(m_mutex); // while one is under way or has just failed
    MonotonicTime m_nextPoll GUARDED_BY(m_mutex);
    MonotonicTime m_nextAsk GUARDED_BY(m_mutex);
    std::size_t m_storeFailures GUARDED_BY(m_mutex) = 0; // in a row
    bool m_isAnnouncing GUARDED_BY(m_mutex) = false; // peers are to be told of m_head
};

} // namespace coriandergate::config
