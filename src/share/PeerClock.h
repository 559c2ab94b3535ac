// Translates deadlines to another host's monotonic clock, without clock synchronization.
//
// Every response of the peer carries a reading of its clock. The reading was taken before the response arrived, so on
// arrival the peer's clock shows at least that time. A deadline translated with the reading is therefore reached on the
// peer's clock no later than on this one: it is early by the network delay of the response and by the drift since.
//
//   clock.addSample(reading, receivedAt);
//   if (const auto deadline = clock.toPeerTime(granted.expiresAt)) sendWithDeadline(*deadline);
#pragma once

#include "base/Clock.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace coriandergate::share {

// PeerTime is a reading of a peer's monotonic clock, in nanoseconds since an origin of that clock.
using PeerTime = std::chrono::nanoseconds;

// PeerClock serves one incarnation of one peer. Not thread-safe.
class PeerClock {
public:
    // PeerClock() takes the maximum drift between the clocks of the two hosts.
    explicit PeerClock(std::uint32_t driftPartsPerMillion)
        : m_driftPartsPerMillion(driftPartsPerMillion)
    {
    }

    // addSample() takes a reading that arrived at `receivedAt`.
    auto addSample(PeerTime reading, MonotonicTime receivedAt) -> void;

    // toPeerTime() is a time on the peer's clock that is reached no later than `deadline` on this one; empty before the
    // first sample.
    [[nodiscard]] auto toPeerTime(MonotonicTime deadline) const -> std::optional<PeerTime>;

private:
    struct Sample {
        PeerTime reading;
        MonotonicTime receivedAt;
    };

    [[nodiscard]] auto translate(const Sample& sample, MonotonicTime time) const -> PeerTime;

    std::uint32_t m_driftPartsPerMillion;
    std::optional<Sample> m_bestSample;
};

} // namespace coriandergate::share
