// Rebuilds the records of a seat's keys at a new holder from the reports of the fleet, and bounds the time during which
// records may be missing.
//
// Three daemons store the record of each request that starts under a permit: the holder of the seat and two others in
// different data centres (see WitnessSelection.h). After the holder is lost, a record is lost only if both others are
// lost as well. Its request started at most `startTimeout` after the first of these two losses, because no attempt
// starts later than that after it was opened. Any two lost daemons in different data centres may have been these two,
// so the first losses of all such pairs are compared, and the latest of them ends the gap: the time in which a request
// may have been opened whose record is lost. `startTimeout` plus `retention` after the gap, a key without a record is
// certainly new.
//
//   SeatRebuild rebuild({}, lease, members, lost, now);
//   for (const auto& peer : rebuild.missingReports())
//       requestReport(peer);
//   rebuild.addReport(report);
//   if (rebuild.isReady(now)) ...                    // all members have reported, or the timeout has passed
//   if (now < rebuild.uncertainUntil(now)) ...       // the outcome of a key without a record is unknown
//
// As long as a member's report is missing, the gap is computed as if the member were lost just now; late reports are
// accepted. Not thread safe: the lock of the table's shard guards it.
#pragma once

#include "once/RebuildReport.h"
#include "once/SeatLease.h"

#include <map>
#include <set>
#include <vector>

namespace coriandergate::once {

// SeatRebuild is the rebuild of one seat at one new holder.
class SeatRebuild {
public:
    struct Options {
        MonotonicDuration retention = std::chrono::hours(1);
        MonotonicDuration startTimeout = std::chrono::seconds(6); // see AttemptTable.h
        MonotonicDuration reportTimeout = std::chrono::seconds(2); // then members that haven't reported count as lost
        bool isSpreadAcrossDataCentres = true; // whether owner and witness are in different data centres
    };

    // Member is a daemon that is believed to be running.
    struct Member {
        DaemonIdentity identity;
        std::string dataCentre;
    };

    // SeatRebuild() expects a report from each of `members`, the new holder included. `lost` are the daemons known to
    // be lost; the reports may name more. Every daemon that ran requests within the retention must be in one of the
    // two.
    SeatRebuild(Options options, const SeatLease& lease, std::vector<Member> members, std::vector<LostDaemon> lost,
        MonotonicTime now);

    // addReport() adds a report. Reports of daemons that aren't members count, too.
    auto addReport(const RebuildReport& report) -> void;

    // markLost() records that a daemon is lost. A member then counts as lost from `lost.lostAt` instead of the present
    // time.
    auto markLost(const LostDaemon& lost) -> void;

    // missingReports() returns the members that haven't reported.
    [[nodiscard]] auto missingReports() const -> std::vector<DaemonIdentity>;

    // isLost() returns whether `daemon` is known as lost here or to a reporter, and hasn't reported itself.
    [[nodiscard]] auto isLost(const DaemonIdentity& daemon) const -> bool { return m_lost.contains(daemon); }

    // isReady() returns whether all members have reported or `reportTimeout` has passed. Until then, no permit may be
    // granted.
    [[nodiscard]] auto isReady(MonotonicTime now) const -> bool;

    // uncertainUntil() returns the time until which a key without a record may belong to a request that was started. It
    // is in the past if there is no gap. O(n log n) for n lost daemons.
    [[nodiscard]] auto uncertainUntil(MonotonicTime now) const -> MonotonicTime;

private:
    [[nodiscard]] auto isRelevant(const LostDaemon& lost) const -> bool;
    [[nodiscard]] auto relevantLosses(MonotonicTime now) const -> std::vector<LostDaemon>;

    Options m_options;
    SeatLease m_lease;
    MonotonicTime m_startedAt;
    std::map<DaemonIdentity, Member> m_missing;
    std::map<DaemonIdentity, LostDaemon> m_lost;
    std::set<DaemonIdentity> m_reported;
    std::set<DaemonIdentity> m_takenOver;
    MonotonicTime m_historyStart = MonotonicTime::max();
};

} // namespace coriandergate::once
