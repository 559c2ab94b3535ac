#include "log/CauseJoin.h"

#include <algorithm>
#include <functional>

namespace coriandergate::log {

using std::chrono::milliseconds;

auto CauseJoin::entryOf(std::string_view id) -> Entry&
{
    const auto hash = std::hash<std::string_view>()(id);
    if (const auto found = m_entries.find(hash); found != m_entries.end())
        return found->second;
    if (m_entries.size() >= m_capacity) {
        m_entries.erase(m_order.front());
        m_order.pop_front();
        ++m_forgotten;
    }
    m_order.push_back(hash);
    return m_entries[hash];
}

auto CauseJoin::join(Entry& entry) -> void
{
    if (entry.isJoined || entry.firstCause > entry.lastEffect)
        return;
    entry.isJoined = true;
    ++m_joined;
}

auto CauseJoin::addCause(std::string_view id, milliseconds time) -> void
{
    auto& entry = entryOf(id);
    entry.firstCause = std::min(entry.firstCause, time);
    join(entry);
}

auto CauseJoin::addEffect(std::string_view id, milliseconds time) -> void
{
    auto& entry = entryOf(id);
    entry.lastEffect = std::max(entry.lastEffect, time);
    join(entry);
}

} // namespace coriandergate::log
