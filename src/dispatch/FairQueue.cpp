#include "dispatch/FairQueue.h"

#include <algorithm>
#include <iterator>

namespace coriandergate::dispatch {

namespace {

    auto divideByWeight(MonotonicDuration serviceTime, double weight) -> MonotonicDuration
    {
        return MonotonicDuration(
            static_cast<MonotonicDuration::rep>(static_cast<double>(serviceTime.count()) / weight));
    }

} // namespace

auto FairQueue::push(const Request& request, std::vector<Request>& evicted) -> PushResult
{
    auto& account = findOrAddAccount(request);
    if (account.requests.size() >= m_options.maximumRequestsPerAccount)
        return PushResult::AccountFull;
    if (size() >= m_options.maximumRequests) {
        auto removed = evictFor(request);
        if (!removed)
            return PushResult::Full;
        evicted.push_back(std::move(*removed));
    }
    if (account.requests.empty()) {
        account.virtualTime = std::max(account.virtualTime, m_systemVirtualTime);
        account.scheduledAs = ++m_accountsScheduled;
        m_schedule.insert(scheduleKey(account));
    }
    m_entriesByTicket.emplace(request.ticket, Entry { &account, insert(account, request) });
    m_ticketsByDeadline.emplace(request.deadline, request.ticket);
    return PushResult::Queued;
}

auto FairQueue::evictFor(const Request& request) -> std::optional<Request>
{
    auto* const largest = largestAccountFor(request);
    if (!largest)
        return std::nullopt;
    return removeEntry({ largest, std::prev(largest->requests.end()) });
}

auto FairQueue::lastOfLargest(const Request& request, MonotonicDuration expectedServiceTime) const
    -> std::optional<Last>
{
    const auto* const largest = largestAccountFor(request);
    if (!largest)
        return std::nullopt;
    const auto before = static_cast<MonotonicDuration::rep>(largest->requests.size() - 1);
    const auto virtualTime = largest->virtualTime + before * divideByWeight(expectedServiceTime, largest->weight);
    const auto& last = largest->requests.back();
    return Last { last.ticket, last.deadline,
        largest->requests.size() - 1 + requestsBefore(largest, virtualTime, expectedServiceTime) };
}

auto FairQueue::pop(MonotonicDuration expectedServiceTime) -> std::optional<Request>
{
    if (m_schedule.empty())
        return std::nullopt;
    auto* const account = m_schedule.begin()->account;
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
    const auto wasScheduled = m_schedule.erase(scheduleKey(account)) > 0;
    account.virtualTime
        = std::max(account.virtualTime + divideByWeight(difference, account.weight), m_systemVirtualTime);
    if (wasScheduled)
        m_schedule.insert(scheduleKey(account));
}

auto FairQueue::remove(std::uint64_t ticket) -> bool
{
    const auto found = m_entriesByTicket.find(ticket);
    if (found == m_entriesByTicket.end())
        return false;
    removeEntry(Entry { found->second });
    resetWhenEmpty();
    return true;
}

auto FairQueue::removeDueBefore(MonotonicTime limit) -> std::vector<Request>
{
    std::vector<Request> due;
    while (!m_ticketsByDeadline.empty() && m_ticketsByDeadline.begin()->first < limit)
        due.push_back(removeEntry(Entry { m_entriesByTicket.at(m_ticketsByDeadline.begin()->second) }));
    resetWhenEmpty();
    return due;
}

auto FairQueue::requestsAhead(
    std::string_view clientAccount, double weight, MonotonicDuration expectedServiceTime) const -> std::size_t
{
    const auto found = m_accounts.find(clientAccount);
    if (found == m_accounts.end())
        return requestsBefore(nullptr, m_systemVirtualTime, expectedServiceTime);
    const auto& account = found->second;
    const auto ownRequests = account.requests.size();
    const auto virtualTime = std::max(account.virtualTime, m_systemVirtualTime)
        + static_cast<MonotonicDuration::rep>(ownRequests) * divideByWeight(expectedServiceTime, weight);
    return ownRequests + requestsBefore(&account, virtualTime, expectedServiceTime);
}

// Counts the requests of all accounts but `account` that begin by `virtualTime`.
auto FairQueue::requestsBefore(
    const Account* account, MonotonicDuration virtualTime, MonotonicDuration expectedServiceTime) const -> std::size_t
{
    std::size_t requests = 0;
    for (const auto& key : m_schedule) {
        if (key.virtualTime > virtualTime)
            break;
        if (key.account == account)
            continue;
        const auto charge = std::max(divideByWeight(expectedServiceTime, key.account->weight), MonotonicDuration(1));
        const auto begun = static_cast<std::size_t>((virtualTime - key.virtualTime) / charge) + 1;
        requests += std::min(begun, key.account->requests.size());
    }
    return requests;
}

auto FairQueue::scheduleKey(Account& account) -> ScheduleKey
{
    return { account.virtualTime, account.scheduledAs, &account };
}

auto FairQueue::findOrAddAccount(const Request& request) -> Account&
{
    const auto found = m_accounts.find(request.clientAccount);
    if (found != m_accounts.end()) {
        found->second.weight = request.weight;
        return found->second;
    }
    removeIdleAccounts();
    Account account { request.clientAccount, request.weight, m_systemVirtualTime, 0, {} };
    return m_accounts.emplace(request.clientAccount, std::move(account)).first->second;
}

auto FairQueue::isLarger(const Account& left, const Account& right) -> bool
{
    return static_cast<double>(left.requests.size()) * right.weight
        > static_cast<double>(right.requests.size()) * left.weight;
}

auto FairQueue::largestAccountFor(const Request& request) const -> Account*
{
    const auto largest = std::max_element(m_schedule.begin(), m_schedule.end(),
        [](const ScheduleKey& left, const ScheduleKey& right) { return isLarger(*right.account, *left.account); });
    if (largest == m_schedule.end())
        return nullptr;
    const auto own = m_accounts.find(request.clientAccount);
    const auto ownRequests = own == m_accounts.end() ? 0 : own->second.requests.size();
    const auto& account = *largest->account;
    const bool hasMore = static_cast<double>(account.requests.size()) * request.weight
        > static_cast<double>(ownRequests + 1) * account.weight;
    return hasMore ? largest->account : nullptr;
}

auto FairQueue::insert(Account& account, const Request& request) -> std::list<Request>::iterator
{
    auto position = account.requests.end();
    while (m_options.accountOrder == AccountOrder::EarliestDeadline && position != account.requests.begin()
        && request.deadline < std::prev(position)->deadline)
        --position;
    return account.requests.insert(position, request);
}

auto FairQueue::removeEntry(const Entry& entry) -> Request
{
    auto request = *entry.position;
    auto& account = *entry.account;
    m_entriesByTicket.erase(request.ticket);
    m_ticketsByDeadline.erase({ request.deadline, request.ticket });
    account.requests.erase(entry.position);
    if (account.requests.empty())
        m_schedule.erase(scheduleKey(account));
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
// allowance keeps most calls from scanning all accounts. When too many are ahead, those that are least so are
// forgotten: they gain no more than the service time that they were charged last.
auto FairQueue::removeIdleAccounts() -> void
{
    constexpr std::size_t idleAccountAllowance = 64;
    const auto limit = 2 * m_schedule.size() + idleAccountAllowance;
    if (m_accounts.size() <= limit)
        return;
    const auto eraseUpTo = [this](MonotonicDuration virtualTime) -> void {
        std::erase_if(m_accounts, [virtualTime](const auto& entry) {
            return entry.second.requests.empty() && entry.second.virtualTime <= virtualTime;
        });
    };
    eraseUpTo(m_systemVirtualTime);
    if (m_accounts.size() <= limit)
        return;
    std::vector<MonotonicDuration> idle;
    for (const auto& [name, account] : m_accounts) {
        if (account.requests.empty())
            idle.push_back(account.virtualTime);
    }
    const auto median = idle.begin() + static_cast<std::ptrdiff_t>(idle.size() / 2);
    std::nth_element(idle.begin(), median, idle.end());
    eraseUpTo(*median);
}

} // namespace coriandergate::dispatch
