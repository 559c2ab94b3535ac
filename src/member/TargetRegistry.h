// Registry of the targets on this daemon's host.
//
// Targets register themselves: no static list exists. A target stays registered from its first announcement until its
// announcement expires without renewal. A leaving target drains at once: until it expires it stays registered in state
// Draining, and it accepts requests only during the drain grace period. The registry does not track the requests
// already in flight.
//
//   TargetRegistry registry({});
//   Error reason;
//   if (!registry.announce({ "ledger", "10.0.0.7:9001", 6 }, now, reason))
//       reject(reason);
//   for (const auto& target : registry.targetsOf("ledger", now))
//       if (target.state == TargetState::Serving)
//           candidates.push_back(target);
//   registry.leave("10.0.0.7:9001", now);
#pragma once

#include "base/Clock.h"
#include "base/Mutex.h"
#include "member/Target.h"
#include "member/TargetSnapshot.h"

#include <array>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace coriandergate {
struct Error;
}

namespace coriandergate::member {

// TargetRegistry is thread-safe. Targets are sharded by service, with one lock per shard.
class TargetRegistry {
public:
    struct Options {
        std::chrono::milliseconds timeToLive { 3000 }; // of an announcement without renewal
        std::chrono::milliseconds drainGracePeriod { 1000 }; // a draining target still accepts requests that long
        std::size_t maximumTargets = 256; // per host
        std::uint32_t maximumSlots = 1024; // per target
    };

    explicit TargetRegistry(const Options& options);

    // announce() registers or renews a target. Returns false and sets `reason` when a field is invalid, when the host
    // has too many targets, or when the same incarnation of the target is draining: an announcement that was in flight
    // when the target left must not register it again.
    [[nodiscard]] auto announce(const TargetAnnouncement& announcement, MonotonicTime now, Error& reason) -> bool;

    // leave() starts draining the target at `address` in every service. Returns false when there is no such target.
    auto leave(std::string_view address, MonotonicTime now) -> bool;

    // expire() removes the targets whose time to live has elapsed and returns their number.
    auto expire(MonotonicTime now) -> std::size_t;

    // targetsOf() returns the unexpired targets of `service`, including draining ones, sorted by address.
    [[nodiscard]] auto targetsOf(std::string_view service, MonotonicTime now) const -> std::vector<Target>;

    // find() returns the unexpired target of `service` at `address`, which may be draining.
    [[nodiscard]] auto find(std::string_view service, std::string_view address, MonotonicTime now) const
        -> std::optional<Target>;

    // acceptsRequests() returns whether a request that was routed to `target` may be sent to it: while the target
    // serves, and during the drain grace period, because the sender may have chosen it before learning that it drains.
    [[nodiscard]] auto acceptsRequests(const Target& target, MonotonicTime now) const -> bool;

    // fallbackTarget() returns the target of `service` that started draining last among those that still accept
    // requests, for a request that no other target can take. It returns a serving target only when no such
    // draining target exists.
    [[nodiscard]] auto fallbackTarget(std::string_view service, MonotonicTime now) const -> std::optional<Target>;

    // lastAnnouncedAt() returns the time of the most recent announcement by any serving target of `service`.
    [[nodiscard]] auto lastAnnouncedAt(std::string_view service, MonotonicTime now) const
        -> std::optional<MonotonicTime>;

    // snapshot() returns all unexpired targets of the host and the version that they correspond to.
    [[nodiscard]] auto snapshot(MonotonicTime now) const -> TargetSnapshot;

    // version() increases with every change to the registered targets. A renewal without changes does not increase it.
    [[nodiscard]] auto version() const -> std::uint64_t;

private:
    struct Entry {
        Target target;
        MonotonicTime expiresAt;
    };

    using EntriesByAddress = std::map<std::string, Entry, std::less<>>;

    struct Shard {
        mutable Mutex mutex;
        std::map<std::string, EntriesByAddress, std::less<>> services GUARDED_BY(mutex);
    };

    static constexpr std::size_t s_shardCount = 8;

    [[nodiscard]] auto validate(const TargetAnnouncement& announcement, Error& reason) const -> bool;
    [[nodiscard]] auto shardOf(std::string_view service) -> Shard&;
    [[nodiscard]] auto shardOf(std::string_view service) const -> const Shard&;
    [[nodiscard]] auto renew(Entry& entry, const TargetAnnouncement& announcement, MonotonicTime now) const -> bool;

    const Options m_options;
    std::array<Shard, s_shardCount> m_shards;
    std::atomic<std::size_t> m_targetCount = 0;
    std::atomic<std::uint64_t> m_version = 0;
};

} // namespace coriandergate::member
