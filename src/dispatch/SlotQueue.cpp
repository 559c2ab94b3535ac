#include "dispatch/SlotQueue.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace coriandergate::dispatch {

using std::chrono::milliseconds;

namespace {

    // Weight of the latest service time in the moving average, which then spans about ten requests.
    constexpr double latestServiceTimeWeight = 0.1;

} // namespace

SlotQueue::SlotQueue(const Options& options)
    : m_options(options)
    , m_meanServiceMs(static_cast<double>(options.initialServiceTime.count()))
{
}

auto SlotQueue::setSlots(std::size_t slots) -> void { m_options.slots = std::max<std::size_t>(1, slots); }

auto SlotQueue::classOf(const Request& request) -> Class
{
    return { .priority = request.priority, .hasClientAccount = !request.clientAccount.empty() };
}

auto SlotQueue::hasFreeSlot(MonotonicTime now) const -> bool
{
    const auto slots = now < m_limitedUntil ? std::min(m_options.slots, m_limitedSlots) : m_options.slots;
    return m_running < slots;
}

auto SlotQueue::queuedBefore(int priority) const -> std::size_t
{
    std::size_t requests = 0;
    for (const auto& [requestClass, queue] : m_queues)
        requests += requestClass.priority <= priority ? queue.size() : 0;
    return requests;
}

auto SlotQueue::requestsBefore(const Class& requestClass) const -> std::size_t
{
    std::size_t requests = 0;
    for (auto queue = m_queues.begin(); queue != m_queues.lower_bound(requestClass); ++queue)
        requests += queue->second.size();
    return requests;
}

auto SlotQueue::requestsAhead(const Request& request) const -> std::size_t
{
    const auto requestClass = classOf(request);
    const auto found = m_queues.find(requestClass);
    const auto ahead = requestsBefore(requestClass);
    return found == m_queues.end()
        ? ahead
        : ahead + found->second.requestsAhead(request.clientAccount, request.accountWeight, meanCharge());
}

auto SlotQueue::waitBehind(std::size_t requestsAhead) const -> milliseconds
{
    // Assumes that the slots are released at even intervals over a mean service time.
    const double serviceTimes = (static_cast<double>(requestsAhead) + 1) / static_cast<double>(m_options.slots);
    return milliseconds(std::llround(serviceTimes * m_meanServiceMs));
}

auto SlotQueue::expectedWait(const Request& request) const -> milliseconds
{
    if (m_running < m_options.slots && m_waiting == 0)
        return milliseconds { 0 };
    return waitBehind(requestsAhead(request));
}

auto SlotQueue::reserve(const Request& request, MonotonicTime now, milliseconds minimumWait) -> Decision
{
    if (minimumWait.count() == 0 && hasFreeSlot(now) && m_waiting == 0) {
        ++m_running;
        return Decision::Granted;
    }
    const auto wait = std::max(expectedWait(request), minimumWait);
    if (wait > request.startDeadline - now)
        return Decision::Refused;
    if (m_waiting >= m_options.maximumQueueLength && !makeRoom(request))
        return Decision::Refused;
    enqueue(request);
    evictOvertaken(request, now);
    return Decision::Queued;
}

auto SlotQueue::enqueue(const Request& request) -> void
{
    const FairQueue::Options options { .maximumRequests = m_options.maximumQueueLength,
        .maximumRequestsPerAccount = m_options.maximumQueueLength,
        .accountOrder = FairQueue::AccountOrder::EarliestDeadline };
    auto& queue = m_queues.try_emplace(classOf(request), options).first->second;
    std::vector<FairQueue::Request> evicted; // stays empty: makeRoom() sees to the length of all queues together
    queue.push({ request.ticket, request.startDeadline, request.clientAccount, request.accountWeight }, evicted);
    ++m_waiting;
}

// Removes a request of the account with the most in the queue, of a priority no higher than that of `request`.
auto SlotQueue::makeRoom(const Request& request) -> bool
{
    if (request.clientAccount.empty())
        return false;
    const auto requestClass = classOf(request);
    for (auto queue = m_queues.rbegin(); queue != m_queues.rend() && !(queue->first < requestClass); ++queue) {
        if (!queue->first.hasClientAccount)
            continue;
        const auto evicted
            = queue->second.evictFor({ request.ticket, {}, request.clientAccount, request.accountWeight });
        if (!evicted)
            continue;
        m_evicted.push_back(evicted->ticket);
        --m_waiting;
        eraseIfEmpty(Class { queue->first });
        return true;
    }
    return false;
}

// A request that goes before those of a larger account may delay the last of them past its start deadline; refused at
// once it still has time for another target.
auto SlotQueue::evictOvertaken(const Request& request, MonotonicTime now) -> void
{
    if (request.clientAccount.empty())
        return;
    const auto requestClass = classOf(request);
    auto& queue = m_queues.at(requestClass);
    const auto last
        = queue.lastOfLargest({ request.ticket, {}, request.clientAccount, request.accountWeight }, meanCharge());
    if (!last || waitBehind(requestsBefore(requestClass) + last->requestsAhead) <= last->deadline - now)
        return;
    if (cancel(last->ticket))
        m_evicted.push_back(last->ticket);
}

auto SlotQueue::release(std::optional<milliseconds> serviceTime, std::optional<Ticket> ticket) -> void
{
    if (m_running > 0)
        --m_running;
    if (serviceTime)
        m_meanServiceMs += latestServiceTimeWeight * (static_cast<double>(serviceTime->count()) - m_meanServiceMs);
    const auto charge = ticket ? m_charges.find(*ticket) : m_charges.end();
    if (charge == m_charges.end())
        return;
    const auto queue = m_queues.find(charge->second.requestClass);
    if (serviceTime && queue != m_queues.end())
        queue->second.adjustCharge(charge->second.clientAccount, *serviceTime - charge->second.serviceTime);
    m_charges.erase(charge);
}

auto SlotQueue::cancel(Ticket ticket) -> bool
{
    const auto found
        = std::find_if(m_queues.begin(), m_queues.end(), [ticket](auto& entry) { return entry.second.remove(ticket); });
    if (found == m_queues.end())
        return false;
    --m_waiting;
    eraseIfEmpty(Class { found->first });
    return true;
}

auto SlotQueue::grantNext(MonotonicTime now) -> std::optional<Ticket>
{
    if (m_queues.empty() || !hasFreeSlot(now))
        return std::nullopt;
    const auto requestClass = m_queues.begin()->first;
    const auto charge = meanCharge();
    auto request = m_queues.begin()->second.pop(charge);
    if (!request)
        return std::nullopt;
    --m_waiting;
    ++m_running;
    eraseIfEmpty(requestClass);
    if (requestClass.hasClientAccount)
        m_charges[request->ticket] = { requestClass, std::move(request->clientAccount), charge };
    return request->ticket;
}

auto SlotQueue::removeExpired(MonotonicTime now) -> std::vector<Ticket>
{
    std::vector<Ticket> expired;
    for (auto& [requestClass, queue] : m_queues) {
        for (const auto& request : queue.removeDueBefore(now + MonotonicDuration(1)))
            expired.push_back(request.ticket);
    }
    m_waiting -= expired.size();
    std::erase_if(m_queues, [](const auto& entry) { return entry.second.isEmpty(); });
    return expired;
}

// An empty queue has forgotten its charges, so a new one is its equal.
auto SlotQueue::eraseIfEmpty(const Class& requestClass) -> void
{
    if (const auto found = m_queues.find(requestClass); found != m_queues.end() && found->second.isEmpty())
        m_queues.erase(found);
}

auto SlotQueue::limitConcurrency(MonotonicTime until) -> void
{
    m_limitedSlots = std::max<std::size_t>(1, m_running);
    m_limitedUntil = until;
}

auto SlotQueue::meanServiceTime() const -> milliseconds { return milliseconds(std::llround(m_meanServiceMs)); }

auto SlotQueue::meanCharge() const -> MonotonicDuration
{
    return std::chrono::duration_cast<MonotonicDuration>(std::chrono::duration<double, std::milli>(m_meanServiceMs));
}

auto SlotQueue::waitingAccounts() const -> std::size_t
{
    std::size_t accounts = 0;
    for (const auto& [requestClass, queue] : m_queues)
        accounts += requestClass.hasClientAccount ? queue.waitingAccounts() : 0;
    return accounts;
}

} // namespace coriandergate::dispatch
