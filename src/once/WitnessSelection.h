// Which daemons must remember a once-only request before it may start.
//
// Besides the holder of its seat, two daemons in different data centres must: the owner (unless it is the holder) and
// others that it asks to remember the request, at the same time as it asks for the permit. The entry daemon doesn't
// count of itself: when its request is read late, it may have been lost for long. Asked like any other, it does.
//
//   for (const auto& witness : selectWitnesses(holder, owner, candidates, true))
//       askToRemember(witness, record);           // wait for all, or answer "not run"
#pragma once

#include "once/SeatRebuild.h"

#include <optional>
#include <span>
#include <vector>

namespace coriandergate::once {

// selectWitnesses() picks from `candidates`, in their order, one daemon, or two when the owner is the holder. Empty:
// the candidates don't suffice, and the request must not start. With `areSpread` false, different hosts are enough.
// Safe from any thread.
[[nodiscard]] auto selectWitnesses(const DaemonIdentity& holder, const SeatRebuild::Member& owner,
    std::span<const SeatRebuild::Member> candidates, bool areSpread) -> std::optional<std::vector<SeatRebuild::Member>>;

} // namespace coriandergate::once
