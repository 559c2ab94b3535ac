// Collects what the fleet remembers of a seat's keys, for a new holder, and says for how long gaps must be feared.
//
// Every request that starts under a permit is remembered by three daemons: the holder of the seat and two others in
// different data centres (see WitnessSelection.h). After the holder is lost, a key is lost as well only if both others
// are gone. It was started while both lived or within `startTimeout` of it, for no attempt starts later than that after
// it was opened. Of all such pairs, the one whose earlier loss is the latest bounds the gap: a key that nobody
// remembers is certainly new from that time, plus `startTimeout`, plus the retention on.
//
//   SeatRebuild rebuild({}, tenure, members, now);
//   for (const auto& peer : rebuild.missingReports()) ask(peer);
//   rebuild.addReport(report, now);
//   if (rebuild.isReady(now)) ...                    // everyone answered, or reportTimeout has run out
//   if (now < rebuild.uncertainUntil(now)) ...       // an absent key must be answered "outcome unknown"
//
// A member that doesn't answer counts as lost at this very moment, until its report comes in; reports are welcome late.
// Not thread safe: the ledger's shard lock guards it.
#pragma once

#include "once/RebuildReport.h"
#include "once/SeatLease.h"

#include <map>
#include <set>
#include <vector>

namespace coriandergate::once {

// SeatRebuild is one new holder's rebuild of one seat.
class SeatRebuild {
public:
    struct Options {
        MonotonicDuration retention = std::chrono::hours(1);
        MonotonicDuration startTimeout = std::chrono::seconds(6); // see AttemptTable.h
        MonotonicDuration reportTimeout = std::chrono::seconds(2); // after which silent members count as lost
        bool isSpreadAcrossDataCentres
            = true; // owner and witness stand in different data centres; false: on different hosts
    };

    // Member is a daemon that is believed to run.
    struct Member {
        DaemonIdentity identity;
        std::string dataCentre;
    };

    // SeatRebuild() expects a report from each of `members` (the new holder itself among them) and counts `lost`, of
    // which the reports may name more. Every daemon that ran requests within the retention must be in one of the two.
    SeatRebuild(Options options, const SeatLease& tenure, std::vector<Member> members, std::vector<LostDaemon> lost,
        MonotonicTime now);

    // addReport() counts a report; reports from others than the members are counted, too.
    auto addReport(const RebuildReport& report) -> void;

    // markLost() takes in that a daemon is lost; one of the members then counts from its loss on, no longer from now.
    auto markLost(const LostDaemon& lost) -> void;

    // missing() are the members that have not reported.
    [[nodiscard]] auto missingReports() const -> std::vector<DaemonIdentity>;

    // isLost() says whether somebody counts `daemon` as lost and it has not reported.
    [[nodiscard]] auto isLost(const DaemonIdentity& daemon) const -> bool { return m_lost.contains(daemon); }

    // isReady() is true when every member has reported or reportTimeout has run out. Before, nothing may be granted.
    [[nodiscard]] auto isReady(MonotonicTime now) const -> bool;

    // uncertainUntil() is the time until which a key that nobody remembers may have been started all the same. It is
    // in the past when there is no gap. O(lost daemons · log).
    [[nodiscard]] auto uncertainUntil(MonotonicTime now) const -> MonotonicTime;

private:
    [[nodiscard]] auto isCounted(const LostDaemon& lost) const -> bool;
    [[nodiscard]] auto gaps(MonotonicTime now) const -> std::vector<LostDaemon>;

    Options m_options;
    SeatLease m_tenure;
    MonotonicTime m_startedAt;
    std::map<DaemonIdentity, Member> m_missing;
    std::map<DaemonIdentity, LostDaemon> m_lost;
    std::set<DaemonIdentity> m_reported;
    std::set<DaemonIdentity> m_absorbed;
    MonotonicTime m_remembersSince = MonotonicTime::max();
};

} // namespace coriandergate::once
