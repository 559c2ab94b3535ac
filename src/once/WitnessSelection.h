// Selects the daemons that must store the record of an at-most-once request before the request may start.
//
// Besides the holder of the seat, two daemons in different data centres store it: the owner (unless it is the holder)
// and the witnesses, which the owner asks at the same time as it requests the permit. The entry daemon isn't one
// of the two just because it received the request: it may be lost long before the owner reads the request. It may be
// selected as a witness like any other daemon.
//
//   if (const auto witnesses = selectWitnesses(holder, owner, candidates, true))
//       storeAt(*witnesses, record); // wait for all acknowledgements, or refuse the request as not run
#pragma once

#include "once/SeatRebuild.h"

#include <optional>
#include <span>
#include <vector>

namespace coriandergate::once {

// selectWitnesses() selects from `candidates`, in their order, one daemon, or two if the owner is the holder. Empty if
// the candidates don't suffice; then the request must not start. If `isSpreadAcrossDataCentres` is false, owner and
// witnesses may be in one data centre. Safe from any thread.
[[nodiscard]] auto selectWitnesses(const DaemonIdentity& holder, const SeatRebuild::Member& owner,
    std::span<const SeatRebuild::Member> candidates, bool isSpreadAcrossDataCentres)
    -> std::optional<std::vector<SeatRebuild::Member>>;

} // namespace coriandergate::once
