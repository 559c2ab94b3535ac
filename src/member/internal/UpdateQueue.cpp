#include "member/internal/UpdateQueue.h"

#include <algorithm>

namespace coriandergate::member::internal {

namespace {

    auto hasHigherPriority(const UpdateQueue::Entry* left, const UpdateQueue::Entry* right) -> bool
    {
        return left->sends != right->sends ? left->sends < right->sends : left->pushNumber > right->pushNumber;
    }

}

auto UpdateQueue::push(const std::string& address, bool includesProfile, MonotonicTime now) -> void
{
    auto& entry = m_entries[address];
    entry.address = address;
    entry.includesProfile = entry.includesProfile || includesProfile;
    entry.sends = 0;
    entry.pushNumber = ++m_lastPushNumber;
    entry.queuedAt = now;
}

auto UpdateQueue::eraseQueuedBefore(MonotonicTime limit) -> void
{
    std::erase_if(m_entries, [limit](const auto& entry) { return entry.second.queuedAt < limit; });
}

auto UpdateQueue::candidates(std::size_t maximumCount) const -> std::vector<const Entry*>
{
    std::vector<const Entry*> sorted;
    sorted.reserve(m_entries.size());
    for (const auto& [address, entry] : m_entries)
        sorted.push_back(&entry);
    const auto count = std::min(maximumCount, sorted.size());
    std::partial_sort(
        sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(count), sorted.end(), hasHigherPriority);
    sorted.resize(count);
    return sorted;
}

auto UpdateQueue::recordSend(const std::string& address, std::uint32_t maximumSends) -> void
{
    const auto entry = m_entries.find(address);
    if (entry != m_entries.end() && ++entry->second.sends >= maximumSends)
        m_entries.erase(entry);
}

} // namespace coriandergate::member::internal
