// The permit to keep one target out of service, as the daemon beside the target holds it.
//
// The lease counts from the moment at which the report was sent whose answer carries it, never from the arrival of the
// answer: however late, doubled or out of order answers come, the holder of the seat counts it for longer.
//
//   EjectionLease lease;
//   lease.recordReportSent(report.sequence, now);
//   lease.accept(answer.sequence, answer.lifetime);
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
    // recordReportSent() remembers when the report `sequence` was sent. Answers to all but the last 16 reports are
    // ignored.
    auto recordReportSent(std::uint64_t sequence, MonotonicTime now) -> void;

    // accept() takes the lease that answers report `sequence`, and returns false when it is unknown or older than
    // what release() gave up.
    auto accept(std::uint64_t sequence, std::chrono::milliseconds lifetime) -> bool;

    // release() puts the target back; answers to reports sent before no longer take effect.
    auto release() -> void;

    // isHeld() tells whether the target may be kept out of service at `now`.
    [[nodiscard]] auto isHeld(MonotonicTime now) const -> bool { return now < m_until; }

    // remaining() is how long isHeld() stays true, zero when it is not.
    [[nodiscard]] auto remaining(MonotonicTime now) const -> std::chrono::milliseconds;

private:
    struct Sent {
        std::uint64_t sequence = 0;
        MonotonicTime at;
    };

    static constexpr std::size_t s_rememberedCount = 16;

    std::array<Sent, s_rememberedCount> m_sent {};
    std::uint64_t m_lastSent = 0;
    std::uint64_t m_releasedUpTo = 0;
    MonotonicTime m_until;
};

} // namespace coriandergate::health
