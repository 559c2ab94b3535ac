// The targets on this daemon's host, as they announce themselves.
//
// There is no list of targets: one exists here from its first announcement until it leaves or stops renewing. A target
// that leaves is draining at once and gets no new work; requests that it already has are none of the registry's
// business.
//
//   TargetRegistry registry({});
//   Error reason;
//   if (!registry.announce({ "ledger", "10.0.0.7:9001", 6 }, now, reason))
//       refuse(reason);
//   for (const auto& target : registry.targetsOf("ledger", now))
//       if (target.state == TargetState::Serving)
//           consider(target);
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

// TargetRegistry is safe from any thread. Targets are kept in shards by service, each under its own lock.
class TargetRegistry {
public:
    struct Options {
        std::chrono::milliseconds timeToLive { 3000 }; // an announcement that isn't renewed for so long expires
        std::chrono::milliseconds leavingGrace { 1000 }; // a leaving target still takes what nobody else can
        std::size_t maximumTargets = 256; // on one host
        std::uint32_t maximumSlots = 1024; // of one target
    };

    explicit TargetRegistry(const Options& options);

    // announce() makes a target known or renews it. False with a reason when a field is out of its range, when the host
    // has too many targets, or when the same run of the target said a moment ago that it leaves: an announcement that
    // was on its way then must not bring it back.
    [[nodiscard]] auto announce(const TargetAnnouncement& announcement, MonotonicTime now, Error& reason) -> bool;

    // leave() drains the target at `address` in every service. False when none is known there.
    auto leave(std::string_view address, MonotonicTime now) -> bool;

    // expire() forgets the targets whose time to live has passed and returns how many there were.
    auto expire(MonotonicTime now) -> std::size_t;

    // targetsOf() is the unexpired targets of `service`, draining ones included, sorted by address.
    [[nodiscard]] auto targetsOf(std::string_view service, MonotonicTime now) const -> std::vector<Target>;

    // find() is the unexpired target of `service` at `address`, draining or not.
    [[nodiscard]] auto find(std::string_view service, std::string_view address, MonotonicTime now) const
        -> std::optional<Target>;

    // acceptsRequests() says whether a request that has come to `target` may go to it: while it serves, and for the
    // leaving grace after that, for those who chose it before they could know.
    [[nodiscard]] auto acceptsRequests(const Target& target, MonotonicTime now) const -> bool;

    // fallbackTarget() is the target of `service` that began to leave last and still takes work, for a request that has
    // nowhere else to go.
    [[nodiscard]] auto fallbackTarget(std::string_view service, MonotonicTime now) const -> std::optional<Target>;

    // lastAnnouncedAt() is when the freshest of the serving targets of `service` last announced itself.
    [[nodiscard]] auto lastAnnouncedAt(std::string_view service, MonotonicTime now) const
        -> std::optional<MonotonicTime>;

    // snapshot() is every target of the host with the version that it belongs to.
    [[nodiscard]] auto snapshot(MonotonicTime now) const -> TargetSnapshot;

    // version() grows with each change of what snapshot() shows; renewals alone don't count.
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

    [[nodiscard]] auto check(const TargetAnnouncement& announcement, Error& reason) const -> bool;
    [[nodiscard]] auto shardOf(std::string_view service) -> Shard&;
    [[nodiscard]] auto shardOf(std::string_view service) const -> const Shard&;
    [[nodiscard]] auto renew(Entry& entry, const TargetAnnouncement& announcement, MonotonicTime now) const -> bool;

    const Options m_options;
    std::array<Shard, s_shardCount> m_shards;
    std::atomic<std::size_t> m_targetCount = 0;
    std::atomic<std::uint64_t> m_version = 0;
};

} // namespace coriandergate::member
