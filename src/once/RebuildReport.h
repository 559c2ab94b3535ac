// What a daemon reports to the new holder of a seat, which rebuilds the records of the seat's keys from it.
#pragma once

#include "base/DaemonIdentity.h"
#include "once/AttemptRecord.h"
#include "once/LostDaemon.h"

#include <vector>

namespace coriandergate::once {

// RebuildReport holds all records that `from` stores for one seat's keys, as holder, owner or witness, and the daemons
// that it knows to have been lost within the retention.
struct RebuildReport {
    DaemonIdentity from;
    MonotonicTime historyStart; // when the reporter started, or the earliest start of a daemon that it took over from
    std::vector<AttemptRecord> records;
    std::vector<LostDaemon> lost;
    std::vector<DaemonIdentity> takenOverFrom; // daemons that handed over all their records before a planned stop
};

} // namespace coriandergate::once
