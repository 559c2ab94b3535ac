// The lease to keep one target ejected, as the daemon on the target's host holds it.
//
// The lease counts from when the report was sent whose response grants it, not from when the response arrives. So even
// if responses are late, duplicated or reordered, the leader counts the lease for longer than this daemon.
//
//   EjectionLease lease;
//   lease.recordReportSent(report.sequence, now);
//   lease.accept(response.sequence, *response.leaseDuration);
//   if (lease.isHeld(now)) refuse();
#pragma once

#include "base/Clock.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace coriandergate::health {

// EjectionLease belongs to one target. Not thread-safe.
class EjectionLease {
public:
    // recordReportSent() stores when the report `sequence` was sent. Responses to all but the last 16 reports are
    // ignored.
    auto recordReportSent(std::uint64_t sequence, MonotonicTime now) -> void;

    // accept() extends the lease by a grant in the response to report `sequence`. Returns false if that report is
    // unknown or was sent before the last release().
    auto accept(std::uint64_t sequence, std::chrono::milliseconds duration) -> bool;

    // release() ends the lease; responses to reports sent before no longer have an effect.
    auto release() -> void;

    // isHeld() tells whether the target may be kept ejected at `now`.
    [[nodiscard]] auto isHeld(MonotonicTime now) const -> bool { return now < m_expiresAt; }

    // remaining() is how long isHeld() stays true, zero when it is not.
    [[nodiscard]] auto remaining(MonotonicTime now) const -> std::chrono::milliseconds;

private:
    struct SentReport {
        std::uint64_t sequence = 0;
        MonotonicTime sentAt;
    };

    static constexpr std::size_t s_trackedReportCount = 16;

    std::array<SentReport, s_trackedReportCount> m_sentReports {};
    std::uint64_t m_lastSentSequence = 0;
    std::uint64_t m_releasedSequence = 0;
    MonotonicTime m_expiresAt;
};

} // namespace coriandergate::health
