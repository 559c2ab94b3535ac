#include "admission/internal/SlotGroup.h"

#include <algorithm>

namespace coriandergate::admission::internal {

auto SlotGroup::setTarget(std::string_view target, std::size_t slots) -> void
{
    const auto found = std::find_if(
        m_targets.begin(), m_targets.end(), [target](const Target& known) { return known.name == target; });
    if (found == m_targets.end()) {
        m_targets.push_back({ std::string(target), slots, 0, true });
        return;
    }
    found->slots = slots;
    found->isOpen = true;
}

auto SlotGroup::drainTarget(std::string_view target) -> void
{
    for (auto& known : m_targets) {
        if (known.name == target)
            known.isOpen = false;
    }
}

auto SlotGroup::submit(const SlotRequest& request, Ticket ticket, MonotonicTime now,
    std::vector<DequeueDecision>& others) -> SubmitDecision
{
    if (request.deadline.hasPassed(now))
        return Refused { ticket, RefusalReason::DeadlinePassed, {} };
    if (openSlots() == 0)
        return Refused { ticket, RefusalReason::NoTarget, {} };
    const auto target = targetWithFreeSlot();
    if (target < m_targets.size() && m_queue.isEmpty())
        return start(ticket, request.clientAccount, target, MonotonicDuration::zero(), now);
    return enqueue(request, ticket, now, others);
}

auto SlotGroup::enqueue(const SlotRequest& request, Ticket ticket, MonotonicTime now,
    std::vector<DequeueDecision>& others) -> SubmitDecision
{
    const auto wait = expectedWait(request.clientAccount);
    if (wait + tailService() > request.deadline.remaining(now))
        return Refused { ticket, RefusalReason::DeadlineTooShort, wait };
    std::vector<WaitingRequest> evicted;
    const auto result = m_queue.push({ ticket, request.deadline, request.clientAccount }, evicted);
    if (result == FairQueue::PushResult::AccountFull)
        return Refused { ticket, RefusalReason::AccountQueueFull, wait };
    if (result == FairQueue::PushResult::Full)
        return Refused { ticket, RefusalReason::QueueFull, wait };
    for (const auto& out : evicted)
        others.emplace_back(Refused { out.ticket, RefusalReason::Evicted, wait });
    return Queued { ticket, wait };
}

auto SlotGroup::giveUp(Ticket ticket, bool ran, MonotonicTime now, std::vector<DequeueDecision>& others) -> void
{
    const auto found = m_running.find(ticket.value);
    if (found == m_running.end())
        return;
    const auto& running = found->second;
    --m_targets[running.target].running;
    const auto took = ran ? now - running.startedAt : MonotonicDuration::zero();
    if (ran)
        m_serviceTimes.record(took);
    m_queue.correct(running.clientAccount, took - running.charged);
    m_running.erase(found);
    processQueue(now, others);
}

auto SlotGroup::cancel(Ticket ticket) -> bool { return m_queue.remove(ticket); }

auto SlotGroup::processQueue(MonotonicTime now, std::vector<DequeueDecision>& others) -> void
{
    if (m_queue.isEmpty())
        return;
    if (openSlots() == 0) {
        refuseAll(others);
        return;
    }
    refuseLate(now, others);
    for (auto target = targetWithFreeSlot(); target < m_targets.size(); target = targetWithFreeSlot()) {
        auto next = m_queue.pop(expectedService());
        if (!next)
            return;
        others.emplace_back(start(next->ticket, std::move(next->clientAccount), target, expectedService(), now));
    }
}

auto SlotGroup::usage() const -> SlotTable::Usage
{
    return { openSlots(), m_running.size(), m_queue.size(), m_serviceTimes.mean(), m_serviceTimes.p95() };
}

auto SlotGroup::openSlots() const -> std::size_t
{
    std::size_t slots = 0;
    for (const auto& target : m_targets)
        slots += target.isOpen ? target.slots : 0;
    return slots;
}

auto SlotGroup::targetWithFreeSlot() const -> std::size_t
{
    auto best = m_targets.size();
    std::size_t mostFree = 0;
    for (std::size_t index = 0; index < m_targets.size(); ++index) {
        const auto& target = m_targets[index];
        if (!target.isOpen || target.running >= target.slots || target.slots - target.running <= mostFree)
            continue;
        mostFree = target.slots - target.running;
        best = index;
    }
    return best;
}

auto SlotGroup::expectedService() const -> MonotonicDuration
{
    return m_serviceTimes.count() == 0 ? m_options.initialServiceTime : m_serviceTimes.mean();
}

auto SlotGroup::tailService() const -> MonotonicDuration
{
    return m_serviceTimes.count() == 0 ? m_options.initialServiceTime : m_serviceTimes.p95();
}

auto SlotGroup::expectedWait(std::string_view clientAccount) const -> MonotonicDuration
{
    const auto turns = static_cast<MonotonicDuration::rep>(m_queue.turnsBefore(clientAccount) + 1);
    return expectedService() * turns / static_cast<MonotonicDuration::rep>(std::max<std::size_t>(openSlots(), 1));
}

auto SlotGroup::start(Ticket ticket, std::string clientAccount, std::size_t target, MonotonicDuration charged,
    MonotonicTime now) -> Admitted
{
    ++m_targets[target].running;
    m_running.emplace(ticket.value, Running { target, std::move(clientAccount), now, charged });
    return { ticket, m_targets[target].name };
}

// A request that would most likely not be answered in time would only take the slot from one that still can be.
auto SlotGroup::refuseLate(MonotonicTime now, std::vector<DequeueDecision>& others) -> void
{
    for (const auto& late : m_queue.takeExpired(now + tailService()))
        others.emplace_back(Refused { late.ticket, RefusalReason::DeadlineTooShort, expectedWait(late.clientAccount) });
}

auto SlotGroup::refuseAll(std::vector<DequeueDecision>& others) -> void
{
    for (const auto& request : m_queue.takeExpired(MonotonicTime::max()))
        others.emplace_back(Refused { request.ticket, RefusalReason::NoTarget, {} });
}

} // namespace coriandergate::admission::internal
