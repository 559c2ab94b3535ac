#include "admission/SlotTable.h"

#include "admission/internal/SlotGroup.h"
#include "base/Hash.h"

#include <map>
#include <string>
#include <unordered_map>

namespace coriandergate::admission {

namespace {

    constexpr unsigned shardShift = 56; // a ticket's top byte names its shard

} // namespace

struct SlotTable::Shard {
    explicit Shard(std::uint64_t number)
        : nextTicket((number << shardShift) + 1)
    {
    }

    REQUIRES(mutex) auto groupNamedLocked(std::string_view name, const Options& options) -> internal::SlotGroup&
    {
        const auto found = groups.find(name);
        if (found != groups.end())
            return *found->second;
        return *groups.emplace(std::string(name), std::make_unique<internal::SlotGroup>(options)).first->second;
    }

    // A Refused ends its ticket; a Admitted keeps it until the slot is given up.
    REQUIRES(mutex) auto forgetRefusedLocked(const std::vector<DequeueDecision>& dispatches, std::size_t from) -> void
    {
        for (auto index = from; index < dispatches.size(); ++index) {
            if (const auto* refused = std::get_if<Refused>(&dispatches[index]))
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
    shard.groupNamedLocked(group, m_options).setTarget(target, slots);
}

auto SlotTable::drainTarget(std::string_view group, std::string_view target) -> void
{
    auto& shard = shardOf(group);
    const MutexLock lock(shard.mutex);
    shard.groupNamedLocked(group, m_options).drainTarget(target);
}

auto SlotTable::submit(const SlotRequest& request, MonotonicTime now, std::vector<DequeueDecision>& others)
    -> SubmitDecision
{
    auto& shard = shardOf(request.group);
    const MutexLock lock(shard.mutex);
    const auto found = shard.groups.find(request.group);
    if (found == shard.groups.end())
        return Refused { {}, RefusalReason::NoTarget, {} };
    const Ticket ticket { shard.nextTicket++ };
    const auto from = others.size();
    auto decision = found->second->submit(request, ticket, now, others);
    shard.forgetRefusedLocked(others, from);
    if (!std::holds_alternative<Refused>(decision))
        shard.tickets.emplace(ticket.value, found->second.get());
    return decision;
}

auto SlotTable::release(Ticket ticket, MonotonicTime now, std::vector<DequeueDecision>& others) -> void
{
    giveUp(ticket, true, now, others);
}

auto SlotTable::releaseUnused(Ticket ticket, MonotonicTime now, std::vector<DequeueDecision>& others) -> void
{
    giveUp(ticket, false, now, others);
}

auto SlotTable::giveUp(Ticket ticket, bool ran, MonotonicTime now, std::vector<DequeueDecision>& others) -> void
{
    auto& shard = shardOf(ticket);
    const MutexLock lock(shard.mutex);
    const auto found = shard.tickets.find(ticket.value);
    if (found == shard.tickets.end() || !found->second->isRunning(ticket))
        return;
    auto* const group = found->second;
    shard.tickets.erase(found);
    const auto from = others.size();
    group->giveUp(ticket, ran, now, others);
    shard.forgetRefusedLocked(others, from);
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

auto SlotTable::processQueues(MonotonicTime now, std::vector<DequeueDecision>& others) -> void
{
    for (const auto& shard : m_shards) {
        const MutexLock lock(shard->mutex);
        const auto from = others.size();
        for (const auto& [name, group] : shard->groups)
            group->processQueue(now, others);
        std::erase_if(shard->groups, [](const auto& entry) { return entry.second->isClosed(); });
        shard->forgetRefusedLocked(others, from);
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
    return *m_shards[(ticket.value >> shardShift) % s_shardCount];
}

} // namespace coriandergate::admission
