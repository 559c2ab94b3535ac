// The daemon's own times that follow from the bounds in its settings, and those of a planned stop.
//
//   const auto lastResponseAt = stopStartedAt + settings.stopGracePeriod - finalResponseMargin(settings);
#pragma once

#include "sidecar/HostSettings.h"

#include <algorithm>
#include <chrono>

namespace coriandergate::sidecar {

// Delay until the callers' port and idle connections are closed. The platform probes readiness every second and acts on
// the second failure.
inline constexpr std::chrono::milliseconds callerDrainDelay { 2300 };
// Delay until new requests to the target are rejected. It is shorter than callerDrainDelay, so that most of the
// target's open requests complete before the callers' port closes. That shortens the unavailability of each host in a
// rolling restart of the daemons, during which the targets keep running.
inline constexpr std::chrono::milliseconds targetDrainDelay { 1200 };
inline constexpr std::chrono::milliseconds stopPollPeriod { 40 };
inline constexpr std::chrono::milliseconds responseDeliveryTime { 120 };

// finalResponseMargin() is how long before the process is killed open requests end; the daemon ends after half of that
// time. A target that is still at work in the last sixth of the grace period has had its time. Thread-safe.
[[nodiscard]] inline auto finalResponseMargin(const HostSettings& settings) -> std::chrono::milliseconds
{
    constexpr std::chrono::milliseconds maximumMargin { 800 };
    constexpr int divisor = 8; // of the grace period
    return std::min(maximumMargin, settings.stopGracePeriod / divisor);
}

// maximumResponseAge() is for how long a response of the store counts as fresh: a fraction of the revocation bound. The
// rest covers the time that a request takes to its target. Thread-safe.
[[nodiscard]] inline auto maximumResponseAge(const HostSettings& settings) -> std::chrono::milliseconds
{
    constexpr double freshnessRatio = 0.88;
    return std::chrono::duration_cast<std::chrono::milliseconds>(settings.revocationBound * freshnessRatio);
}

} // namespace coriandergate::sidecar
