// Permits to keep targets of one service out of service, given so that healthy capacity stays above the floor.
//
// Only the seat holder of the service gives permits, and a permit is a lease: the daemon beside the target must renew
// it, and when it is cut off from the holder it puts the target back into service. Three rules keep the floor while
// several daemons act at once, cut off from each other, paused, or holding the seat one after the other:
//   1. the daemon beside the target counts a permit from the moment it SENT the report that asked for it, and the
//   holder
//      counts it from the moment it granted it, longer by a margin for the drift of clocks;
//   2. whoever takes the seat over gives nothing for one lifetime plus margin, until all earlier permits are over;
//   3. capacity that is cold, draining, unreachable or not heard of counts for the floor, not for what is left.
//
//   EjectionPermits permits({ .healthyFloor = 0.7 }, seatHeldSince);
//   permits.updateTarget("10.0.0.7:9000", { .slots = 6, .isServing = true });
//   Error reason;
//   if (const auto lifetime = permits.request("10.0.0.7:9000", seatHeldUntil, now, reason))
//       answer(*lifetime);
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

// EjectionPermits decides for one service. Not thread-safe: the owner locks each service.
class EjectionPermits {
public:
    struct Options {
        double healthyFloor = 0.7; // fraction of all announced slots that stays in service, 0 to 1
        std::chrono::milliseconds duration { 4000 }; // of a permit
        std::chrono::milliseconds clockMargin { 1000 }; // for drift and pauses, added where the holder counts
    };

    // Capacity is what one announced target gives.
    struct Capacity {
        int slots = 1;
        bool isServing = false; // heard of lately, and neither cold, draining nor unreachable
    };

    // EjectionPermits() begins with no permits for a holder that took its seat at `seatHeldSince`.
    EjectionPermits(const Options& options, MonotonicTime seatHeldSince);

    // setHealthyFloor() takes over a newly declared floor, for permits given from now on.
    auto setHealthyFloor(double fraction) -> void { m_options.healthyFloor = fraction; }

    // updateTarget() notes that `target` is announced with `capacity`.
    auto updateTarget(const std::string& target, const Capacity& capacity) -> void;

    // removeTarget() notes that `target` is no longer announced. A permit for it goes on counting should it come back.
    auto removeTarget(std::string_view target) -> void;

    // request() grants or renews the permit for `target` and returns its lifetime, to be counted by the asker from when
    // it sent its request. Refused with a reason after `seatHeldUntil`, early in a takeover, and under the floor.
    [[nodiscard]] auto request(const std::string& target, MonotonicTime seatHeldUntil, MonotonicTime now, Error& reason)
        -> std::optional<std::chrono::milliseconds>;

    // isHeld() tells whether a permit for `target` may still be in use anywhere.
    [[nodiscard]] auto isHeld(std::string_view target, MonotonicTime now) const -> bool;

    // announcedSlots() is the number of slots of all announced targets.
    [[nodiscard]] auto announcedSlots() const -> int;

    // healthySlots() is the number of slots that serve and for which no permit may be in use.
    [[nodiscard]] auto healthySlots(MonotonicTime now) const -> int;

private:
    struct Permit {
        MonotonicTime countsUntil;
        bool isLapsing = false; // refused a renewal: its capacity comes back
    };

    [[nodiscard]] auto permitOf(std::string_view target, MonotonicTime now) const -> const Permit*;
    [[nodiscard]] auto slotsLeftWithout(const std::string& target, MonotonicTime now) const -> int;
    auto forgetExpired(MonotonicTime now) -> void;

    Options m_options;
    MonotonicTime m_seatHeldSince;
    std::unordered_map<std::string, Capacity> m_targets;
    std::unordered_map<std::string, Permit> m_permits;
};

} // namespace coriandergate::health
