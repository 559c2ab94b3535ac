#include "admission/FairQueue.h"

#include <algorithm>

namespace coriandergate::admission {

auto FairQueue::push(const WaitingRequest& request, std::vector<WaitingRequest>& evicted) -> PushResult
{
    auto& account = accountNamed(request.clientAccount);
    if (account.waiting.size() >= m_options.maximumRequestsPerAccount)
        return PushResult::AccountFull;
    if (size() >= m_options.maximumRequests) {
        auto* const longest = longestAccount();
        if (!longest || longest->waiting.size() <= account.waiting.size() + 1)
            return PushResult::Full;
        evicted.push_back(take({ longest, std::prev(longest->waiting.end()) }));
    }
    if (account.waiting.empty()) {
        account.virtualTime = std::max(account.virtualTime, m_virtualNow);
        m_turns.emplace(account.virtualTime, &account);
    }
    account.waiting.push_back(request);
    m_byTicket.emplace(request.ticket.value, Place { &account, std::prev(account.waiting.end()) });
    m_byDeadline.emplace(request.deadline.at(), request.ticket.value);
    return PushResult::Waiting;
}

auto FairQueue::pop(MonotonicDuration expected) -> std::optional<WaitingRequest>
{
    if (m_turns.empty())
        return std::nullopt;
    auto* const account = m_turns.begin()->second;
    m_virtualNow = account->virtualTime;
    auto request = take({ account, account->waiting.begin() });
    correct(account->name, expected);
    forgetWhenIdle();
    forgetSettledAccounts();
    return request;
}

auto FairQueue::correct(std::string_view clientAccount, MonotonicDuration difference) -> void
{
    const auto found = m_accounts.find(clientAccount);
    if (found == m_accounts.end())
        return;
    auto& account = found->second;
    const auto wasWaiting = m_turns.erase({ account.virtualTime, &account }) > 0;
    account.virtualTime = std::max(account.virtualTime + difference, m_virtualNow);
    if (wasWaiting)
        m_turns.emplace(account.virtualTime, &account);
}

auto FairQueue::remove(Ticket ticket) -> bool
{
    const auto found = m_byTicket.find(ticket.value);
    if (found == m_byTicket.end())
        return false;
    take(Place { found->second });
    forgetWhenIdle();
    return true;
}

auto FairQueue::takeExpired(MonotonicTime limit) -> std::vector<WaitingRequest>
{
    std::vector<WaitingRequest> expired;
    while (!m_byDeadline.empty() && m_byDeadline.begin()->first < limit)
        expired.push_back(take(Place { m_byTicket.at(m_byDeadline.begin()->second) }));
    forgetWhenIdle();
    return expired;
}

auto FairQueue::turnsBefore(std::string_view clientAccount) const -> std::size_t
{
    const auto found = m_accounts.find(clientAccount);
    const auto own = found == m_accounts.end() ? 0 : found->second.waiting.size();
    const auto accounts = m_turns.size() + (own == 0 ? 1 : 0);
    return std::min((own + 1) * accounts - 1, size());
}

auto FairQueue::accountNamed(std::string_view name) -> Account&
{
    const auto found = m_accounts.find(name);
    if (found != m_accounts.end())
        return found->second;
    return m_accounts.emplace(std::string(name), Account { std::string(name), m_virtualNow, {} }).first->second;
}

auto FairQueue::longestAccount() -> Account*
{
    const auto isShorter = [](const Turn& left, const Turn& right) {
        return left.second->waiting.size() < right.second->waiting.size();
    };
    const auto longest = std::max_element(m_turns.begin(), m_turns.end(), isShorter);
    return longest == m_turns.end() ? nullptr : longest->second;
}

auto FairQueue::take(const Place& place) -> WaitingRequest
{
    auto request = *place.position;
    auto& account = *place.account;
    m_byTicket.erase(request.ticket.value);
    m_byDeadline.erase({ request.deadline.at(), request.ticket.value });
    account.waiting.erase(place.position);
    if (account.waiting.empty())
        m_turns.erase({ account.virtualTime, &account });
    return request;
}

// While nothing waits, nobody is owed anything: what each account had before doesn't count in the next congestion.
auto FairQueue::forgetWhenIdle() -> void
{
    if (!isEmpty())
        return;
    m_accounts.clear();
    m_virtualNow = MonotonicDuration::zero();
}

// An account that waits for nothing and is owed nothing would start anew at the same virtual time.
auto FairQueue::forgetSettledAccounts() -> void
{
    constexpr std::size_t spareAccounts = 64;
    if (m_accounts.size() <= 2 * m_turns.size() + spareAccounts)
        return;
    std::erase_if(m_accounts,
        [this](const auto& entry) { return entry.second.waiting.empty() && entry.second.virtualTime <= m_virtualNow; });
}

} // namespace coriandergate::admission
