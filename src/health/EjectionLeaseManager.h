// Grants the leases that keep targets of one service ejected, so that healthy capacity stays above the floor.
//
// Only the service's leader (the holder of the service's seat, see seat/SeatLease.h) grants leases. The daemon on the
// target's host must renew its lease; if it is cut off from the leader, the lease expires and the target returns to
// service. Three rules keep the floor while several daemons act at once, are partitioned or paused, or become leader
// one after the other:
//   1. The daemon on the target's host counts a lease from when it sent the report that requested it. The leader counts
//      it from when it granted it, plus a margin for clock drift and pauses.
//   2. A new leader grants nothing for one lease duration plus the margin, until all leases of its predecessors have
//      expired.
//   3. Capacity that is cold, draining, unreachable or without a recent report counts towards the total from which the
//      floor is computed, but not as serving capacity.
//
//   EjectionLeaseManager leases({ .healthyFloor = 0.7 }, leaderSince);
//   leases.updateTarget("10.0.0.7:9000", { .slots = 6, .isServing = true });
//   Error reason;
//   if (const auto duration = leases.request("10.0.0.7:9000", leadershipUntil, now, reason))
//       respond(*duration);
#pragma once

#include "base/Clock.h"

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace coriandergate {
struct Error;
}

namespace coriandergate::health {

// EjectionLeaseManager grants the leases of one service. Not thread-safe: the caller locks.
class EjectionLeaseManager {
public:
    struct Options {
        double healthyFloor = 0.7; // fraction of all announced slots that must stay in service, 0 to 1
        std::chrono::milliseconds duration { 4000 }; // of a lease
        std::chrono::milliseconds clockMargin { 1000 }; // for clock drift and pauses, added by the leader
    };

    // Capacity is what one announced target contributes.
    struct Capacity {
        int slots = 1;
        bool isServing = false; // has a recent report and is neither cold, draining nor unreachable
    };

    // EjectionLeaseManager() starts without leases, for a daemon that has been the leader since `leaderSince`.
    EjectionLeaseManager(const Options& options, MonotonicTime leaderSince);

    // setHealthyFloor() sets the floor for leases granted from now on.
    auto setHealthyFloor(double fraction) -> void { m_options.healthyFloor = fraction; }

    // updateTarget() adds `target` or replaces its capacity.
    auto updateTarget(const std::string& target, const Capacity& capacity) -> void;

    // removeTarget() removes a target that is no longer announced. If it is announced again, its lease still counts.
    auto removeTarget(std::string_view target) -> void;

    // request() grants or renews the lease for `target` and returns its duration, which the requester counts from when
    // it sent the request. Refused with a reason after `leadershipUntil`, while leases of a previous leader may be
    // valid, for an unknown target, and if healthy capacity would fall below the floor.
    [[nodiscard]] auto request(const std::string& target, MonotonicTime leadershipUntil, MonotonicTime now,
        Error& reason) -> std::optional<std::chrono::milliseconds>;

    // isHeld() tells whether a lease for `target` may still be in use.
    [[nodiscard]] auto isHeld(std::string_view target, MonotonicTime now) const -> bool;

    // announcedSlots() is the number of slots of all announced targets.
    [[nodiscard]] auto announcedSlots() const -> int;

    // healthySlots() is the number of serving slots of targets without a lease.
    [[nodiscard]] auto healthySlots(MonotonicTime now) const -> int;

private:
    struct Lease {
        MonotonicTime expiresAt;
        bool isRenewalRefused = false; // the lease will expire, and the capacity returns to service
    };

    [[nodiscard]] auto findLease(std::string_view target, MonotonicTime now) const -> const Lease*;
    [[nodiscard]] auto servingSlotsWithout(const std::string& target, MonotonicTime now) const -> int;
    auto eraseExpired(MonotonicTime now) -> void;

    Options m_options;
    MonotonicTime m_leaderSince;
    std::unordered_map<std::string, Capacity> m_targets;
    std::unordered_map<std::string, Lease> m_leases;
};

} // namespace coriandergate::health
