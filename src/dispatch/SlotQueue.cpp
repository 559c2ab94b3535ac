#include "dispatch/SlotQueue.h"

#include <algorithm>
#include <cmath>

namespace coriandergate::dispatch {

using std::chrono::milliseconds;

namespace {

    // Weight of the latest service time in the moving average, which then spans about ten requests.
    constexpr double latestServiceTimeWeight = 0.1;

    auto hasPrecedence(const SlotQueue::Request& left, const SlotQueue::Request& right) -> bool
    {
        if (left.priority != right.priority)
            return left.priority < right.priority;
        return left.startDeadline < right.startDeadline;
    }

} // namespace

SlotQueue::SlotQueue(const Options& options)
    : m_options(options)
    , m_meanServiceMs(static_cast<double>(options.initialServiceTime.count()))
{
}

auto SlotQueue::setSlots(std::size_t slots) -> void { m_options.slots = std::max<std::size_t>(1, slots); }

auto SlotQueue::hasFreeSlot(MonotonicTime now) const -> bool
{
    const auto slots = now < m_limitedUntil ? std::min(m_options.slots, m_limitedSlots) : m_options.slots;
    return m_running < slots;
}

auto SlotQueue::queuedBefore(int priority) const -> std::size_t
{
    return static_cast<std::size_t>(std::count_if(
        m_queue.begin(), m_queue.end(), [priority](const Request& queued) { return queued.priority <= priority; }));
}

auto SlotQueue::expectedWait(int priority) const -> milliseconds
{
    if (m_running < m_options.slots && m_queue.empty())
        return milliseconds { 0 };
    const auto ahead = queuedBefore(priority);
    // Assumes that the slots are released at even intervals over a mean service time.
    const double serviceTimes = (static_cast<double>(ahead) + 1) / static_cast<double>(m_options.slots);
    return milliseconds(std::llround(serviceTimes * m_meanServiceMs));
}

auto SlotQueue::reserve(const Request& request, MonotonicTime now, milliseconds minimumWait) -> Decision
{
    if (minimumWait.count() == 0 && hasFreeSlot(now) && m_queue.empty()) {
        ++m_running;
        return Decision::Granted;
    }
    const auto wait = std::max(expectedWait(request.priority), minimumWait);
    if (m_queue.size() >= m_options.maximumQueueLength || wait > request.startDeadline - now)
        return Decision::Refused;
    m_queue.insert(std::upper_bound(m_queue.begin(), m_queue.end(), request, hasPrecedence), request);
    return Decision::Queued;
}

auto SlotQueue::release(std::optional<milliseconds> serviceTime) -> void
{
    if (m_running > 0)
        --m_running;
    if (serviceTime)
        m_meanServiceMs += latestServiceTimeWeight * (static_cast<double>(serviceTime->count()) - m_meanServiceMs);
}

auto SlotQueue::cancel(Ticket ticket) -> bool
{
    return std::erase_if(m_queue, [ticket](const Request& request) { return request.ticket == ticket; }) > 0;
}

auto SlotQueue::grantNext(MonotonicTime now) -> std::optional<Ticket>
{
    if (m_queue.empty() || !hasFreeSlot(now))
        return std::nullopt;
    const auto ticket = m_queue.front().ticket;
    m_queue.erase(m_queue.begin());
    ++m_running;
    return ticket;
}

auto SlotQueue::removeExpired(MonotonicTime now) -> std::vector<Ticket>
{
    std::vector<Ticket> expired;
    for (const auto& request : m_queue) {
        if (request.startDeadline <= now)
            expired.push_back(request.ticket);
    }
    std::erase_if(m_queue, [now](const Request& request) { return request.startDeadline <= now; });
    return expired;
}

auto SlotQueue::limitConcurrency(MonotonicTime until) -> void
{
    m_limitedSlots = std::max<std::size_t>(1, m_running);
    m_limitedUntil = until;
}

auto SlotQueue::meanServiceTime() const -> milliseconds { return milliseconds(std::llround(m_meanServiceMs)); }

} // namespace coriandergate::dispatch
