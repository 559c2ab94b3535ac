// What a daemon tells the new holder of a seat.
#pragma once

#include "base/DaemonIdentity.h"
#include "once/AttemptRecord.h"
#include "once/LostDaemon.h"

#include <vector>

namespace coriandergate::once {

// RebuildReport holds everything that `from` remembers of one seat's keys, in any of its roles, and which daemons it
// knows to have been lost within the retention.
struct RebuildReport {
    DaemonIdentity from;
    MonotonicTime historyStart; // the reporter's start, or earlier when it took over an older daemon's knowledge
    std::vector<AttemptRecord> records;
    std::vector<LostDaemon> lost;
    std::vector<DaemonIdentity> takenOverFrom; // daemons that handed over all they remembered before a planned stop
};

} // namespace coriandergate::once
