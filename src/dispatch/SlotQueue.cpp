#include "dispatch/SlotQueue.h"

#include <algorithm>
#include <cmath>

namespace coriandergate::dispatch {

using std::chrono::milliseconds;

namespace {

    // Weight of the newest service time in their mean: about the last ten count.
    constexpr double newestWeight = 0.1;

    auto isBefore(const SlotQueue::Request& left, const SlotQueue::Request& right) -> bool
    {
        if (left.priority != right.priority)
            return left.priority < right.priority;
        return left.startDeadline < right.startDeadline;
    }

} // namespace

SlotQueue::SlotQueue(const Options& options)
    : m_options(options)
    , m_meanServiceMs(static_cast<double>(options.assumedServiceTime.count()))
{
}

auto SlotQueue::setSlots(std::size_t slots) -> void { m_options.slots = std::max<std::size_t>(1, slots); }

auto SlotQueue::hasFreeSlot(MonotonicTime now) const -> bool
{
    const auto slots = now < m_narrowUntil ? std::min(m_options.slots, m_narrowedSlots) : m_options.slots;
    return m_running < slots;
}

auto SlotQueue::expectedWait(int priority) const -> milliseconds
{
    if (m_running < m_options.slots && m_waiting.empty())
        return milliseconds { 0 };
    const auto ahead = std::count_if(
        m_waiting.begin(), m_waiting.end(), [priority](const Request& other) { return other.priority <= priority; });
    // Slots come free one after the other, evenly over a service time.
    const double turns = (static_cast<double>(ahead) + 1) / static_cast<double>(m_options.slots);
    return milliseconds(std::llround(turns * m_meanServiceMs));
}

auto SlotQueue::reserve(const Request& request, MonotonicTime now) -> Decision
{
    if (hasFreeSlot(now) && m_waiting.empty()) {
        ++m_running;
        return Decision::Granted;
    }
    if (m_waiting.size() >= m_options.maximumWaiting || now + expectedWait(request.priority) > request.startDeadline)
        return Decision::Refused;
    m_waiting.insert(std::upper_bound(m_waiting.begin(), m_waiting.end(), request, isBefore), request);
    return Decision::Waits;
}

auto SlotQueue::release(std::optional<milliseconds> serviceTime) -> void
{
    if (m_running > 0)
        --m_running;
    if (serviceTime)
        m_meanServiceMs += newestWeight * (static_cast<double>(serviceTime->count()) - m_meanServiceMs);
}

auto SlotQueue::cancel(Ticket ticket) -> bool
{
    return std::erase_if(m_waiting, [ticket](const Request& request) { return request.ticket == ticket; }) > 0;
}

auto SlotQueue::grantNext(MonotonicTime now) -> std::optional<Ticket>
{
    if (m_waiting.empty() || !hasFreeSlot(now))
        return std::nullopt;
    const auto ticket = m_waiting.front().ticket;
    m_waiting.erase(m_waiting.begin());
    ++m_running;
    return ticket;
}

auto SlotQueue::removeExpired(MonotonicTime now) -> std::vector<Ticket>
{
    std::vector<Ticket> hopeless;
    for (const auto& request : m_waiting) {
        if (request.startDeadline <= now)
            hopeless.push_back(request.ticket);
    }
    std::erase_if(m_waiting, [now](const Request& request) { return request.startDeadline <= now; });
    return hopeless;
}

auto SlotQueue::limitConcurrency(MonotonicTime until) -> void
{
    m_narrowedSlots = std::max<std::size_t>(1, m_running);
    m_narrowUntil = until;
}

auto SlotQueue::meanServiceTime() const -> milliseconds { return milliseconds(std::llround(m_meanServiceMs)); }

} // namespace coriandergate::dispatch
