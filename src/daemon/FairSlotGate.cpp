#include "daemon/FairSlotGate.h"

#include "http/Status.h"

#include <optional>

namespace coriandergate::daemon {

using std::chrono::milliseconds;

namespace {

    auto groupOf(const std::string& service, const std::string& target) -> std::string
    {
        return service + '\n' + target;
    }

    auto ticketOf(const admission::DequeueDecision& dispatch) -> std::uint64_t
    {
        return std::visit([](const auto& decided) -> std::uint64_t { return decided.ticket.value; }, dispatch);
    }

    // Another target has other requests waiting, but no more time.
    auto toRefusal(const admission::Refused& refused, const std::string& target) -> proxy::Refusal
    {
        const auto isLate = refused.reason == admission::RefusalReason::DeadlinePassed;
        proxy::Refusal refusal;
        refusal.status = isLate ? http::statusGatewayTimeout : http::statusUnavailable;
        refusal.outcome = proxy::Outcome::NotRun;
        refusal.error = { "wait for a slot", target, std::string(admission::toText(refused.reason)) };
        if (refused.retryAfter > MonotonicDuration::zero())
            refusal.retryAfter = std::chrono::ceil<milliseconds>(refused.retryAfter);
        refusal.mayTryOtherTarget = !isLate;
        return refusal;
    }

} // namespace

FairSlotGate::FairSlotGate(admission::SlotTable::Options options)
    : m_table(options)
{
}

auto FairSlotGate::submit(const proxy::SlotRequest& request, MonotonicTime now, Decided decided) -> Ticket
{
    openTarget(request);
    const admission::SlotRequest wanted { groupOf(request.service, request.target), request.clientAccount,
        admission::Deadline(request.deadline) };
    std::vector<admission::DequeueDecision> others;
    const auto decision = m_table.submit(wanted, now, others);
    dispatch(others);
    if (const auto* queued = std::get_if<admission::Queued>(&decision)) {
        park(queued->ticket.value, request.target, std::move(decided));
        return queued->ticket.value;
    }
    const auto immediate = std::holds_alternative<admission::Admitted>(decision)
        ? admission::DequeueDecision { std::get<admission::Admitted>(decision) }
        : admission::DequeueDecision { std::get<admission::Refused>(decision) };
    count(immediate, false);
    decided(toDecision(immediate, request.target));
    return ticketOf(immediate);
}

auto FairSlotGate::cancel(Ticket ticket, MonotonicTime) -> bool
{
    if (!m_table.cancel({ ticket }))
        return false;
    const MutexLock lock(m_mutex);
    m_parked.erase(ticket);
    return true;
}

auto FairSlotGate::release(Ticket ticket, MonotonicDuration serviceTime, MonotonicTime now) -> void
{
    std::vector<admission::DequeueDecision> others;
    if (serviceTime > MonotonicDuration::zero())
        m_table.release({ ticket }, now, others);
    else
        m_table.releaseUnused({ ticket }, now, others);
    dispatch(others);
}

auto FairSlotGate::load(const std::string& service, const std::string& target) const -> proxy::SlotLoad
{
    const auto usage = m_table.usage(groupOf(service, target));
    return { static_cast<std::uint32_t>(usage.running), static_cast<std::uint32_t>(usage.waiting) };
}

auto FairSlotGate::wake(const std::function<bool(const Target&)>& isServing, MonotonicTime now) -> void
{
    std::vector<Target> targets;
    {
        const MutexLock lock(m_mutex);
        for (const auto& [target, slots] : m_targets)
            targets.push_back(target);
    }
    for (const auto& target : targets) {
        if (isServing(target))
            continue;
        const MutexLock lock(m_mutex);
        m_targets.erase(target);
        m_table.drainTarget(groupOf(target.first, target.second), target.second);
    }
    std::vector<admission::DequeueDecision> dispatches;
    m_table.processQueues(now, dispatches);
    dispatch(dispatches);
}

auto FairSlotGate::counts() const -> Counts
{
    const MutexLock lock(m_mutex);
    return m_counts;
}

auto FairSlotGate::totalLoad() const -> Load
{
    const MutexLock lock(m_mutex);
    Load load;
    for (const auto& [target, slots] : m_targets) {
        const auto usage = m_table.usage(groupOf(target.first, target.second));
        load.slots += usage.slots;
        load.running += usage.running;
        load.waiting += usage.waiting;
    }
    return load;
}

auto FairSlotGate::openTarget(const proxy::SlotRequest& request) -> void
{
    const MutexLock lock(m_mutex);
    auto& slots = m_targets[{ request.service, request.target }];
    if (slots == request.slots)
        return;
    slots = request.slots;
    m_table.setTarget(groupOf(request.service, request.target), request.target, request.slots);
}

// The ticket's turn may have come, on another thread, before the callback was put here.
auto FairSlotGate::park(std::uint64_t ticket, const std::string& target, Decided decided) -> void
{
    std::optional<admission::DequeueDecision> early;
    {
        const MutexLock lock(m_mutex);
        const auto found = m_early.find(ticket);
        if (found == m_early.end()) {
            m_parked.emplace(ticket, Parked { std::move(decided), target });
            return;
        }
        early = std::move(found->second);
        m_early.erase(found);
    }
    count(*early, true);
    decided(toDecision(*early, target));
}

auto FairSlotGate::dispatch(const std::vector<admission::DequeueDecision>& dispatches) -> void
{
    for (const auto& dispatch : dispatches) {
        Parked parked;
        {
            const MutexLock lock(m_mutex);
            const auto found = m_parked.find(ticketOf(dispatch));
            if (found == m_parked.end()) {
                m_early.emplace(ticketOf(dispatch), dispatch);
                continue;
            }
            parked = std::move(found->second);
            m_parked.erase(found);
        }
        count(dispatch, true);
        parked.decided(toDecision(dispatch, parked.target));
    }
}

auto FairSlotGate::count(const admission::DequeueDecision& dispatch, bool hasWaited) -> void
{
    const MutexLock lock(m_mutex);
    if (const auto* refused = std::get_if<admission::Refused>(&dispatch)) {
        ++m_counts.refused[refused->reason];
        return;
    }
    ++m_counts.granted;
    m_counts.waited += hasWaited ? 1 : 0;
}

auto FairSlotGate::toDecision(const admission::DequeueDecision& dispatch, const std::string& target) const
    -> proxy::SlotDecision
{
    if (const auto* refused = std::get_if<admission::Refused>(&dispatch))
        return toRefusal(*refused, target);
    return proxy::SlotGranted {};
}

} // namespace coriandergate::daemon
