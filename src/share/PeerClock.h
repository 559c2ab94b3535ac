// Bounds what another host's monotonic clock shows, without any agreed time.
//
// Every answer of the peer carries its clock's reading. The reading was taken before the answer arrived, so at that
// moment the peer's clock shows at least as much. A use-by time translated with it is reached on the peer's clock no
// later than on this one; it comes early by the time the answer travelled, and by the drift since.
//
//   clock.note(reading, receivedAt);
//   if (const auto useBy = clock.toPeer(granted.useBy, now)) request.setHeader("Use-By", useBy->count());
#pragma once

#include "base/Clock.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace coriandergate::share {

// PeerReading is a peer's monotonic clock, as nanoseconds from an origin of its own.
using PeerReading = std::chrono::nanoseconds;

// PeerClock is for one run of one peer; not safe from several threads at once.
class PeerClock {
public:
    // PeerClock() takes the drift of two hosts' clocks against each other.
    explicit PeerClock(std::uint32_t driftPartsPerMillion)
        : m_driftPartsPerMillion(driftPartsPerMillion)
    {
    }

    // note() takes a reading that arrived at `receivedAt`.
    auto note(PeerReading reading, MonotonicTime receivedAt) -> void;

    // toPeer() is a time on the peer's clock that is reached no later than `useBy` on this one; nothing before the
    // first reading.
    [[nodiscard]] auto toPeer(MonotonicTime useBy) const -> std::optional<PeerReading>;

private:
    struct Sample {
        PeerReading reading;
        MonotonicTime receivedAt;
    };

    [[nodiscard]] auto translate(const Sample& sample, MonotonicTime useBy) const -> PeerReading;

    std::uint32_t m_driftPartsPerMillion;
    std::optional<Sample> m_best;
};

} // namespace coriandergate::share
