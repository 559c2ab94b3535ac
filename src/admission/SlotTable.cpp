#include "admission/SlotTable.h"

#include "admission/internal/SlotGroup.h"
#include "base/Hash.h"

#include <map>
#include <string>
#include <unordered_map>

namespace coriandergate::admission {

namespace {

    constexpr unsigned shardNumberShiftBits = 56; // a ticket's top byte is the number of its shard

} // namespace

struct SlotTable::Shard {
    explicit Shard(std::uint64_t number)
        : nextTicket((number << shardNumberShiftBits) + 1)
    {
    }

    REQUIRES(mutex) auto findOrAddGroupLocked(std::string_view name, const Options& options) -> internal::SlotGroup&
    {
        const auto found = groups.find(name);
        if (found != groups.end())
            return *found->second;
        return *groups.emplace(std::string(name), std::make_unique<internal::SlotGroup>(options)).first->second;
    }

    // Erases the tickets of refused requests among decisions[firstNew] and later. Tickets of admitted requests are kept
    // until their slots are released.
    REQUIRES(mutex)
    auto eraseRefusedTicketsLocked(const std::vector<DequeueDecision>& decisions, std::size_t firstNew) -> void
    {
        for (auto index = firstNew; index < decisions.size(); ++index) {
            if (const auto* refused = std::get_if<Refused>(&decisions[index]))
                tickets.erase(refused->ticket.value);
        }
    }

    Mutex mutex;
    std::uint64_t nextTicket GUARDED_BY(mutex);
    std::map<std::string, std::unique_ptr<internal::SlotGroup>, std::less<>> groups GUARDED_BY(mutex);
    std::unordered_map<std::uint64_t, internal::SlotGroup*> tickets GUARDED_BY(mutex);
};

SlotTable::SlotTable(Options options)
    : m_options(options)
{
    for (std::size_t number = 0; number < s_shardCount; ++number)
        m_shards[number] = std::make_unique<Shard>(number);
}

SlotTable::~SlotTable() = default;

auto SlotTable::setTarget(std::string_view group, std::string_view target, std::size_t slots) -> void
{
    auto& shard = shardOf(group);
    const MutexLock lock(shard.mutex);
    shard.findOrAddGroupLocked(group, m_options).setTarget(target, slots);
}

auto SlotTable::drainTarget(std::string_view group, std::string_view target) -> void
{
    auto& shard = shardOf(group);
    const MutexLock lock(shard.mutex);
    shard.findOrAddGroupLocked(group, m_options).drainTarget(target);
}

auto SlotTable::submit(const SlotRequest& request, MonotonicTime now, std::vector<DequeueDecision>& dequeued)
    -> SubmitDecision
{
    auto& shard = shardOf(request.group);
    const MutexLock lock(shard.mutex);
    const auto found = shard.groups.find(request.group);
    if (found == shard.groups.end())
        return Refused { {}, RefusalReason::NoTarget, {} };
    const Ticket ticket { shard.nextTicket++ };
    const auto firstNew = dequeued.size();
    auto decision = found->second->submit(request, ticket, now, dequeued);
    shard.eraseRefusedTicketsLocked(dequeued, firstNew);
    if (!std::holds_alternative<Refused>(decision))
        shard.tickets.emplace(ticket.value, found->second.get());
    return decision;
}

auto SlotTable::release(Ticket ticket, MonotonicTime now, std::vector<DequeueDecision>& dequeued) -> void
{
    releaseSlot(ticket, true, now, dequeued);
}

auto SlotTable::releaseUnused(Ticket ticket, MonotonicTime now, std::vector<DequeueDecision>& dequeued) -> void
{
    releaseSlot(ticket, false, now, dequeued);
}

auto SlotTable::releaseSlot(Ticket ticket, bool wasSent, MonotonicTime now, std::vector<DequeueDecision>& dequeued)
    -> void
{
    auto& shard = shardOf(ticket);
    const MutexLock lock(shard.mutex);
    const auto found = shard.tickets.find(ticket.value);
    if (found == shard.tickets.end() || !found->second->isRunning(ticket))
        return;
    auto* const group = found->second;
    shard.tickets.erase(found);
    const auto firstNew = dequeued.size();
    group->releaseSlot(ticket, wasSent, now, dequeued);
    shard.eraseRefusedTicketsLocked(dequeued, firstNew);
}

auto SlotTable::cancel(Ticket ticket) -> bool
{
    auto& shard = shardOf(ticket);
    const MutexLock lock(shard.mutex);
    const auto found = shard.tickets.find(ticket.value);
    if (found == shard.tickets.end() || !found->second->cancel(ticket))
        return false;
    shard.tickets.erase(found);
    return true;
}

auto SlotTable::processQueues(MonotonicTime now, std::vector<DequeueDecision>& dequeued) -> void
{
    for (const auto& shard : m_shards) {
        const MutexLock lock(shard->mutex);
        const auto firstNew = dequeued.size();
        for (const auto& [name, group] : shard->groups)
            group->processQueue(now, dequeued);
        std::erase_if(shard->groups, [](const auto& entry) { return entry.second->isRemovable(); });
        shard->eraseRefusedTicketsLocked(dequeued, firstNew);
    }
}

auto SlotTable::usage(std::string_view group) const -> Usage
{
    auto& shard = shardOf(group);
    const MutexLock lock(shard.mutex);
    const auto found = shard.groups.find(group);
    return found == shard.groups.end() ? Usage {} : found->second->usage();
}

auto SlotTable::shardOf(std::string_view group) const -> Shard& { return *m_shards[hashOf(group) % s_shardCount]; }

auto SlotTable::shardOf(Ticket ticket) const -> Shard&
{
    return *m_shards[(ticket.value >> shardNumberShiftBits) % s_shardCount];
}

} // namespace coriandergate::admission
