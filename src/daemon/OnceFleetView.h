// What the OnceGate must know of the fleet: who decides about which seat, who is there, and who was lost.
#pragma once

#include "base/Clock.h"
#include "base/DaemonIdentity.h"
#include "once/SeatLease.h"
#include "once/SeatRebuild.h"

#include <optional>
#include <vector>

namespace coriandergate::daemon {

class OnceFleetView {
public:
    virtual ~OnceFleetView() = default;

    // seatCount() is the number of seats, 0 while it isn't known; then it is the same on every daemon and never
    // changes. Safe from any thread, as all that follows.
    [[nodiscard]] virtual auto seatCount() const -> unsigned = 0;

    // holderOf() is the daemon that is to be asked about `seat`, or nothing when none is known.
    [[nodiscard]] virtual auto holderOf(unsigned seat) const -> std::optional<DaemonIdentity> = 0;

    // rejectHolder() says that `daemon` didn't answer for `seat`, or not as its holder.
    virtual auto rejectHolder(unsigned seat, const DaemonIdentity& daemon) const -> void = 0;

    // tenureOf() is this daemon's own hold of `seat` at `now`, or nothing.
    [[nodiscard]] virtual auto tenureOf(unsigned seat, MonotonicTime now) const -> std::optional<once::SeatLease> = 0;

    // members() are the daemons that are believed to run, this one included.
    [[nodiscard]] virtual auto members() const -> std::vector<once::SeatRebuild::Member> = 0;

    // lost() are the daemons known or thought to be lost within the retention. One that is only silent may still run
    // requests under another holder's permits, so its loss counts as of now.
    [[nodiscard]] virtual auto lost() const -> std::vector<once::LostDaemon> = 0;
};

} // namespace coriandergate::daemon
