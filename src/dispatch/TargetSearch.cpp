#include "dispatch/TargetSearch.h"

#include <algorithm>

namespace coriandergate::dispatch {

using std::chrono::milliseconds;

namespace {

    // Fraction of the time to the deadline that a request past its target latency may wait for a slot.
    constexpr double slotWaitFraction = 0.5;

} // namespace

TargetSearch::TargetSearch(const Options& options)
    : m_options(options)
{
}

auto TargetSearch::next(const Choose& choose) -> LoadBalancer::TargetPointer
{
    while (m_stage != Stage::Exhausted) {
        auto target = m_triesInStage < maximumTries() ? choose() : nullptr;
        if (target) {
            ++m_triesInStage;
            return target;
        }
        advanceStage();
        if (m_stage == Stage::WithinTargetLatency)
            m_excluded.clear();
    }
    return nullptr;
}

auto TargetSearch::maximumTries() const -> std::size_t
{
    switch (m_stage) {
    case Stage::NoWait:
        return m_options.noWaitTries;
    case Stage::WithinTargetLatency:
        return m_options.targetLatencyTries;
    case Stage::BeforeDeadline:
        return m_options.deadlineTries;
    case Stage::Exhausted:
        return 0;
    }
    return 0;
}

auto TargetSearch::advanceStage() -> void
{
    m_triesInStage = 0;
    switch (m_stage) {
    case Stage::NoWait:
        m_stage = Stage::WithinTargetLatency;
        return;
    case Stage::WithinTargetLatency:
        m_stage = Stage::BeforeDeadline;
        return;
    case Stage::BeforeDeadline:
    case Stage::Exhausted:
        m_stage = Stage::Exhausted;
        return;
    }
}

auto TargetSearch::restart() -> void
{
    m_stage = Stage::NoWait;
    m_triesInStage = 0;
}

auto TargetSearch::restartAfterPause() -> void
{
    restart();
    m_excluded.clear();
}

auto TargetSearch::stop(std::string_view reason) -> void
{
    m_stage = Stage::Exhausted;
    m_stopReason = reason;
}

auto TargetSearch::exclude(const std::string& address) -> void { m_excluded.push_back(address); }

auto TargetSearch::recordRejection(const LoadBalancer::Description& target) -> void { m_rejecting.push_back(target); }

auto TargetSearch::isRejectedByAll(std::span<const LoadBalancer::TargetPointer> targets) const -> bool
{
    return !m_rejecting.empty() && std::all_of(targets.begin(), targets.end(), [this](const auto& target) {
        const auto& description = target->description;
        return description.isDraining || LoadBalancer::isExcluded(description, {}, m_rejecting);
    });
}

auto TargetSearch::shouldPause(std::span<const LoadBalancer::TargetPointer> targets, milliseconds toTargetLatency) const
    -> bool
{
    return !m_hasMissedSlot && m_stopReason.empty() && !isRejectedByAll(targets) && toTargetLatency > s_pause;
}

auto TargetSearch::maximumWait(const TimeLeft& timeLeft) const -> milliseconds
{
    switch (m_stage) {
    case Stage::NoWait:
    case Stage::Exhausted:
        return milliseconds { 0 };
    case Stage::WithinTargetLatency:
        return std::max(milliseconds { 0 }, timeLeft.toTargetLatency);
    case Stage::BeforeDeadline:
        return std::chrono::duration_cast<milliseconds>(timeLeft.toDeadline * slotWaitFraction);
    }
    return milliseconds { 0 };
}

} // namespace coriandergate::dispatch
