#include "share/PeerClock.h"

#include <cstdlib>

namespace coriandergate::share {

auto PeerClock::addSample(PeerTime reading, MonotonicTime receivedAt) -> void
{
    const Sample sample { reading, receivedAt };
    // Network delay and drift both make the translated time earlier; the sample that gives the later time is better.
    if (!m_bestSample || translate(sample, receivedAt) >= translate(*m_bestSample, receivedAt))
        m_bestSample = sample;
}

auto PeerClock::toPeerTime(MonotonicTime deadline) const -> std::optional<PeerTime>
{
    if (!m_bestSample)
        return std::nullopt;
    return translate(*m_bestSample, deadline);
}

auto PeerClock::translate(const Sample& sample, MonotonicTime time) const -> PeerTime
{
    const auto elapsed = std::chrono::nanoseconds(time - sample.receivedAt);
    // One part per million is one nanosecond per millisecond; the elapsed time is rounded up to whole milliseconds.
    const std::chrono::nanoseconds drift { (std::abs(elapsed.count()) / 1000000 + 1) * m_driftPartsPerMillion };
    return sample.reading + elapsed - drift;
}

} // namespace coriandergate::share
