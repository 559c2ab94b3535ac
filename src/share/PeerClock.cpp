#include "share/PeerClock.h"

#include <cstdlib>

namespace coriandergate::share {

auto PeerClock::addSample(PeerTime reading, MonotonicTime receivedAt) -> void
{
    const Sample sample { reading, receivedAt };
    // The best sample is the one that travelled shortest, aged by the drift since: whichever gives the later time.
    if (!m_best || translate(sample, receivedAt) >= translate(*m_best, receivedAt))
        m_best = sample;
}

auto PeerClock::toPeerTime(MonotonicTime useBy) const -> std::optional<PeerTime>
{
    if (!m_best)
        return std::nullopt;
    return translate(*m_best, useBy);
}

auto PeerClock::translate(const Sample& sample, MonotonicTime useBy) const -> PeerTime
{
    const auto elapsed = std::chrono::nanoseconds(useBy - sample.receivedAt);
    const std::chrono::nanoseconds drift { (std::abs(elapsed.count()) / 1000000 + 1) * m_driftPartsPerMillion };
    return sample.reading + elapsed - drift;
}

} // namespace coriandergate::share
