// Bounds what another host's monotonic clock shows, without any agreed time.
//
// Every answer of the peer carries its clock's reading. The reading was taken before the answer arrived, so at that
// moment the peer's clock shows at least as much. A use-by time translated with it is reached on the peer's clock no
// later than on this one; it comes early by the time the answer travelled, and by the drift since.
//
//   clock.addSample(reading, receivedAt);
//   if (const auto useBy = clock.toPeerTime(granted.useBy, now)) request.setHeader("Use-By", useBy->count());
#pragma once

#include "base/Clock.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace coriandergate::share {

// PeerTime is a peer's monotonic clock, as nanoseconds from an origin of its own.
using PeerTime = std::chrono::nanoseconds;

// PeerClock is for one run of one peer; not safe from several threads at once.
class PeerClock {
public:
    // PeerClock() takes the drift of two hosts' clocks against each other.
    explicit PeerClock(std::uint32_t driftPartsPerMillion)
        : m_driftPartsPerMillion(driftPartsPerMillion)
    {
    }

    // addSample() takes a reading that arrived at `receivedAt`.
    auto addSample(PeerTime reading, MonotonicTime receivedAt) -> void;

    // toPeerTime() is a time on the peer's clock that is reached no later than `useBy` on this one; nothing before the
    // first reading.
    [[nodiscard]] auto toPeerTime(MonotonicTime useBy) const -> std::optional<PeerTime>;

private:
    struct Sample {
        PeerTime reading;
        MonotonicTime receivedAt;
    };

    [[nodiscard]] auto translate(const Sample& sample, MonotonicTime useBy) const -> PeerTime;

    std::uint32_t m_driftPartsPerMillion;
    std::optional<Sample> m_best;
};

} // namespace coriandergate::share
