#include "admission/FairQueue.h"

#include <algorithm>

namespace coriandergate::admission {

auto FairQueue::push(const QueuedRequest& request, std::vector<QueuedRequest>& evicted) -> PushResult
{
    auto& account = findOrAddAccount(request.clientAccount);
    if (account.requests.size() >= m_options.maximumRequestsPerAccount)
        return PushResult::AccountFull;
    if (size() >= m_options.maximumRequests) {
        auto* const largest = accountWithMostRequests();
        if (!largest || largest->requests.size() <= account.requests.size() + 1)
            return PushResult::Full;
        evicted.push_back(removeEntry({ largest, std::prev(largest->requests.end()) }));
    }
    if (account.requests.empty()) {
        account.virtualTime = std::max(account.virtualTime, m_systemVirtualTime);
        m_schedule.emplace(account.virtualTime, &account);
    }
    account.requests.push_back(request);
    m_entriesByTicket.emplace(request.ticket.value, Entry { &account, std::prev(account.requests.end()) });
    m_ticketsByDeadline.emplace(request.deadline.at(), request.ticket.value);
    return PushResult::Queued;
}

auto FairQueue::pop(MonotonicDuration expectedServiceTime) -> std::optional<QueuedRequest>
{
    if (m_schedule.empty())
        return std::nullopt;
    auto* const account = m_schedule.begin()->second;
    m_systemVirtualTime = account->virtualTime;
    auto request = removeEntry({ account, account->requests.begin() });
    adjustCharge(account->name, expectedServiceTime);
    resetWhenEmpty();
    removeIdleAccounts();
    return request;
}

auto FairQueue::adjustCharge(std::string_view clientAccount, MonotonicDuration difference) -> void
{
    const auto found = m_accounts.find(clientAccount);
    if (found == m_accounts.end())
        return;
    auto& account = found->second;
    const auto wasScheduled = m_schedule.erase({ account.virtualTime, &account }) > 0;
    account.virtualTime = std::max(account.virtualTime + difference, m_systemVirtualTime);
    if (wasScheduled)
        m_schedule.emplace(account.virtualTime, &account);
}

auto FairQueue::remove(Ticket ticket) -> bool
{
    const auto found = m_entriesByTicket.find(ticket.value);
    if (found == m_entriesByTicket.end())
        return false;
    removeEntry(Entry { found->second });
    resetWhenEmpty();
    return true;
}

auto FairQueue::removeDueBefore(MonotonicTime limit) -> std::vector<QueuedRequest>
{
    std::vector<QueuedRequest> due;
    while (!m_ticketsByDeadline.empty() && m_ticketsByDeadline.begin()->first < limit)
        due.push_back(removeEntry(Entry { m_entriesByTicket.at(m_ticketsByDeadline.begin()->second) }));
    resetWhenEmpty();
    return due;
}

auto FairQueue::requestsAhead(std::string_view clientAccount) const -> std::size_t
{
    const auto found = m_accounts.find(clientAccount);
    const auto ownRequests = found == m_accounts.end() ? 0 : found->second.requests.size();
    const auto accounts = m_schedule.size() + (ownRequests == 0 ? 1 : 0);
    return std::min((ownRequests + 1) * accounts - 1, size());
}

auto FairQueue::findOrAddAccount(std::string_view name) -> Account&
{
    const auto found = m_accounts.find(name);
    if (found != m_accounts.end())
        return found->second;
    return m_accounts.emplace(std::string(name), Account { std::string(name), m_systemVirtualTime, {} }).first->second;
}

auto FairQueue::accountWithMostRequests() -> Account*
{
    const auto hasFewerRequests = [](const ScheduleKey& left, const ScheduleKey& right) {
        return left.second->requests.size() < right.second->requests.size();
    };
    const auto largest = std::max_element(m_schedule.begin(), m_schedule.end(), hasFewerRequests);
    return largest == m_schedule.end() ? nullptr : largest->second;
}

auto FairQueue::removeEntry(const Entry& entry) -> QueuedRequest
{
    auto request = *entry.position;
    auto& account = *entry.account;
    m_entriesByTicket.erase(request.ticket.value);
    m_ticketsByDeadline.erase({ request.deadline.at(), request.ticket.value });
    account.requests.erase(entry.position);
    if (account.requests.empty())
        m_schedule.erase({ account.virtualTime, &account });
    return request;
}

// Past service doesn't count once the queue has been empty: the next congestion starts with equal accounts.
auto FairQueue::resetWhenEmpty() -> void
{
    if (!isEmpty())
        return;
    m_accounts.clear();
    m_systemVirtualTime = MonotonicDuration::zero();
}

// An idle account whose virtual time is not ahead of the system's would be created again with an equivalent state. The
// allowance keeps most calls from scanning all accounts.
auto FairQueue::removeIdleAccounts() -> void
{
    constexpr std::size_t idleAccountAllowance = 64;
    if (m_accounts.size() <= 2 * m_schedule.size() + idleAccountAllowance)
        return;
    std::erase_if(m_accounts, [this](const auto& entry) {
        return entry.second.requests.empty() && entry.second.virtualTime <= m_systemVirtualTime;
    });
}

} // namespace coriandergate::admission
