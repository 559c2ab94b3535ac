#include "admission/internal/SlotGroup.h"

#include <algorithm>

namespace coriandergate::admission::internal {

using dispatch::FairQueue;

auto SlotGroup::setTarget(std::string_view target, std::size_t slots) -> void
{
    const auto found = std::find_if(
        m_targets.begin(), m_targets.end(), [target](const Target& candidate) { return candidate.name == target; });
    if (found == m_targets.end()) {
        m_targets.push_back({ std::string(target), slots, 0, true });
        return;
    }
    found->slots = slots;
    found->isAccepting = true;
}

auto SlotGroup::drainTarget(std::string_view target) -> void
{
    for (auto& candidate : m_targets) {
        if (candidate.name == target)
            candidate.isAccepting = false;
    }
}

auto SlotGroup::submit(const SlotRequest& request, Ticket ticket, MonotonicTime now,
    std::vector<DequeueDecision>& dequeued) -> SubmitDecision
{
    if (request.deadline.hasPassed(now))
        return Refused { ticket, RefusalReason::DeadlinePassed, {} };
    if (slotsOfAcceptingTargets() == 0)
        return Refused { ticket, RefusalReason::NoTarget, {} };
    const auto target = targetWithMostFreeSlots();
    if (target < m_targets.size() && m_queue.isEmpty())
        return admit(ticket, request.clientAccount, target, MonotonicDuration::zero(), now);
    return enqueue(request, ticket, now, dequeued);
}

auto SlotGroup::enqueue(const SlotRequest& request, Ticket ticket, MonotonicTime now,
    std::vector<DequeueDecision>& dequeued) -> SubmitDecision
{
    const auto wait = expectedWait(request.clientAccount);
    if (wait + p95ServiceTime() > request.deadline.remaining(now))
        return Refused { ticket, RefusalReason::DeadlineTooShort, wait };
    std::vector<FairQueue::Request> evicted;
    const auto result = m_queue.push({ ticket.value, request.deadline.at(), request.clientAccount }, evicted);
    if (result == FairQueue::PushResult::AccountFull)
        return Refused { ticket, RefusalReason::AccountQueueFull, wait };
    if (result == FairQueue::PushResult::Full)
        return Refused { ticket, RefusalReason::QueueFull, wait };
    for (const auto& evictedRequest : evicted)
        dequeued.emplace_back(Refused { Ticket { evictedRequest.ticket }, RefusalReason::Evicted, wait });
    return Queued { ticket, wait };
}

auto SlotGroup::releaseSlot(Ticket ticket, bool wasSent, MonotonicTime now, std::vector<DequeueDecision>& dequeued)
    -> void
{
    const auto found = m_running.find(ticket.value);
    if (found == m_running.end())
        return;
    const auto& running = found->second;
    --m_targets[running.target].running;
    const auto serviceTime = wasSent ? now - running.startedAt : MonotonicDuration::zero();
    if (wasSent)
        m_serviceTimes.record(serviceTime);
    m_queue.adjustCharge(running.clientAccount, serviceTime - running.chargedServiceTime);
    m_running.erase(found);
    processQueue(now, dequeued);
}

auto SlotGroup::cancel(Ticket ticket) -> bool { return m_queue.remove(ticket.value); }

auto SlotGroup::processQueue(MonotonicTime now, std::vector<DequeueDecision>& dequeued) -> void
{
    if (m_queue.isEmpty())
        return;
    if (slotsOfAcceptingTargets() == 0) {
        refuseAll(dequeued);
        return;
    }
    refuseUnmeetableDeadlines(now, dequeued);
    for (auto target = targetWithMostFreeSlots(); target < m_targets.size(); target = targetWithMostFreeSlots()) {
        auto next = m_queue.pop(expectedServiceTime());
        if (!next)
            return;
        dequeued.emplace_back(
            admit(Ticket { next->ticket }, std::move(next->clientAccount), target, expectedServiceTime(), now));
    }
}

auto SlotGroup::usage() const -> SlotTable::Usage
{
    return { slotsOfAcceptingTargets(), m_running.size(), m_queue.size(), m_serviceTimes.mean(), m_serviceTimes.p95() };
}

auto SlotGroup::slotsOfAcceptingTargets() const -> std::size_t
{
    std::size_t slots = 0;
    for (const auto& target : m_targets)
        slots += target.isAccepting ? target.slots : 0;
    return slots;
}

auto SlotGroup::targetWithMostFreeSlots() const -> std::size_t
{
    auto best = m_targets.size();
    std::size_t mostFree = 0;
    for (std::size_t index = 0; index < m_targets.size(); ++index) {
        const auto& target = m_targets[index];
        if (!target.isAccepting || target.running >= target.slots || target.slots - target.running <= mostFree)
            continue;
        mostFree = target.slots - target.running;
        best = index;
    }
    return best;
}

auto SlotGroup::expectedServiceTime() const -> MonotonicDuration
{
    return m_serviceTimes.count() == 0 ? m_options.initialServiceTime : m_serviceTimes.mean();
}

auto SlotGroup::p95ServiceTime() const -> MonotonicDuration
{
    return m_serviceTimes.count() == 0 ? m_options.initialServiceTime : m_serviceTimes.p95();
}

auto SlotGroup::expectedWait(std::string_view clientAccount) const -> MonotonicDuration
{
    const auto serviceTimeCount
        = static_cast<MonotonicDuration::rep>(m_queue.requestsAhead(clientAccount, 1, expectedServiceTime()) + 1);
    return expectedServiceTime() * serviceTimeCount
        / static_cast<MonotonicDuration::rep>(std::max<std::size_t>(slotsOfAcceptingTargets(), 1));
}

auto SlotGroup::admit(Ticket ticket, std::string clientAccount, std::size_t target,
    MonotonicDuration chargedServiceTime, MonotonicTime now) -> Admitted
{
    ++m_targets[target].running;
    m_running.emplace(ticket.value, RunningRequest { target, std::move(clientAccount), now, chargedServiceTime });
    return { ticket, m_targets[target].name };
}

// A request that would probably miss its deadline would only take a slot from one that can still meet it.
auto SlotGroup::refuseUnmeetableDeadlines(MonotonicTime now, std::vector<DequeueDecision>& dequeued) -> void
{
    for (const auto& late : m_queue.removeDueBefore(now + p95ServiceTime()))
        dequeued.emplace_back(
            Refused { Ticket { late.ticket }, RefusalReason::DeadlineTooShort, expectedWait(late.clientAccount) });
}

auto SlotGroup::refuseAll(std::vector<DequeueDecision>& dequeued) -> void
{
    for (const auto& request : m_queue.removeDueBefore(MonotonicTime::max()))
        dequeued.emplace_back(Refused { Ticket { request.ticket }, RefusalReason::NoTarget, {} });
}

} // namespace coriandergate::admission::internal
