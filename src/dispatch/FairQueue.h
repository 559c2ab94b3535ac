// A fair queue between client accounts for the requests that wait for a slot.
//
// Uses start-time fair queueing (Goyal, Vin and Cheng, 1996): each account has a virtual time, the service time charged
// to it so far divided by its weight, and the account with the lowest virtual time is served next. pop() charges the
// expected service time; adjustCharge() corrects it once the actual time is known. An account with long requests
// therefore gets fewer of them served, not a larger share of the slots.
//
// Load patterns: one account sends several times as much as usual; many callers of one account; accounts that were
// idle.
//
//   FairQueue queue({ .maximumRequests = 512, .maximumRequestsPerAccount = 64 });
//   queue.push({ ticket, deadline, "account-7" }, evicted);
//   if (auto next = queue.pop(expectedServiceTime)) ...
//   queue.adjustCharge(next->clientAccount, actual - expected);
#pragma once

#include "base/Clock.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace coriandergate::dispatch {

// FairQueue takes O(log(queued requests)) per request; a push into a full queue also scans the accounts with queued
// requests. It keeps the accounts that have queued requests and a limited number of those that were served recently.
// Not thread-safe.
class FairQueue {
public:
    struct Request {
        std::uint64_t ticket = 0; // not reused while it is queued
        MonotonicTime deadline;
        std::string clientAccount;
        double weight = 1; // of the account, above 0; it gets slots in proportion to it
    };

    // AccountOrder is the order in which the requests of one account are served.
    enum class AccountOrder {
        Arrival,
        EarliestDeadline,
    };

    struct Options {
        std::size_t maximumRequests = 512;
        std::size_t maximumRequestsPerAccount = 128;
        AccountOrder accountOrder = AccountOrder::Arrival;
    };

    enum class PushResult {
        Queued,
        AccountFull, // the account has maximumRequestsPerAccount requests in the queue
        Full, // the queue has maximumRequests requests, and push() could evict none
    };

    // Last is the request that is served last of those of one account.
    struct Last {
        std::uint64_t ticket = 0;
        MonotonicTime deadline;
        std::size_t requestsAhead = 0; // of all accounts
    };

    explicit FairQueue(Options options)
        : m_options(options)
    {
    }
    FairQueue(const FairQueue&) = delete;
    auto operator=(const FairQueue&) -> FairQueue& = delete;

    // push() queues `request`. When the queue is full, evictFor() makes room and the request that it removes is moved
    // to `evicted`.
    auto push(const Request& request, std::vector<Request>& evicted) -> PushResult;

    // evictFor() removes the last request of the account with the most queued requests for its weight, provided that
    // account has more of them than that of `request` would have; else empty.
    auto evictFor(const Request& request) -> std::optional<Request>;

    // lastOfLargest() is the last request of the account that evictFor() would choose, and its place in the queue.
    [[nodiscard]] auto lastOfLargest(const Request& request, MonotonicDuration expectedServiceTime) const
        -> std::optional<Last>;

    // pop() removes the next request and charges its account `expectedServiceTime`; empty when the queue is empty.
    auto pop(MonotonicDuration expectedServiceTime) -> std::optional<Request>;

    // adjustCharge() adds `difference`, the actual minus the charged service time, to the account's virtual time.
    auto adjustCharge(std::string_view clientAccount, MonotonicDuration difference) -> void;

    // remove() removes a request from anywhere in the queue; false when it is not queued.
    auto remove(std::uint64_t ticket) -> bool;

    // removeDueBefore() removes the requests whose deadline is before `limit`, the earliest first.
    auto removeDueBefore(MonotonicTime limit) -> std::vector<Request>;

    // requestsAhead() estimates how many queued requests would be served before a new one of `clientAccount`, if each
    // took `expectedServiceTime`.
    [[nodiscard]] auto requestsAhead(
        std::string_view clientAccount, double weight, MonotonicDuration expectedServiceTime) const -> std::size_t;

    [[nodiscard]] auto size() const -> std::size_t { return m_entriesByTicket.size(); }
    [[nodiscard]] auto isEmpty() const -> bool { return m_entriesByTicket.empty(); }

    // waitingAccounts() is the number of accounts with queued requests, knownAccounts() that of all accounts kept.
    [[nodiscard]] auto waitingAccounts() const -> std::size_t { return m_schedule.size(); }
    [[nodiscard]] auto knownAccounts() const -> std::size_t { return m_accounts.size(); }

private:
    struct Account {
        std::string name;
        double weight = 1;
        MonotonicDuration virtualTime = MonotonicDuration::zero();
        std::uint64_t scheduledAs = 0; // rises with each account that begins to wait; decides between equal times
        std::list<Request> requests;
    };
    struct Entry {
        Account* account;
        std::list<Request>::iterator position;
    };
    struct ScheduleKey {
        MonotonicDuration virtualTime;
        std::uint64_t scheduledAs = 0;
        Account* account = nullptr;

        friend auto operator<=>(const ScheduleKey& left, const ScheduleKey& right) -> std::strong_ordering
        {
            const auto order = left.virtualTime.count() <=> right.virtualTime.count();
            return order == std::strong_ordering::equal ? left.scheduledAs <=> right.scheduledAs : order;
        }
        friend auto operator==(const ScheduleKey& left, const ScheduleKey& right) -> bool
        {
            return (left <=> right) == std::strong_ordering::equal;
        }
    };

    [[nodiscard]] static auto scheduleKey(Account& account) -> ScheduleKey;
    [[nodiscard]] static auto isLarger(const Account& left, const Account& right) -> bool;
    auto findOrAddAccount(const Request& request) -> Account&;
    [[nodiscard]] auto largestAccountFor(const Request& request) const -> Account*;
    [[nodiscard]] auto requestsBefore(const Account* account, MonotonicDuration virtualTime,
        MonotonicDuration expectedServiceTime) const -> std::size_t;
    auto insert(Account& account, const Request& request) -> std::list<Request>::iterator;
    auto removeEntry(const Entry& entry) -> Request;
    auto resetWhenEmpty() -> void;
    auto removeIdleAccounts() -> void;

    Options m_options;
    MonotonicDuration m_systemVirtualTime = MonotonicDuration::zero(); // that of the account served last
    std::uint64_t m_accountsScheduled = 0; // ever
    std::map<std::string, Account, std::less<>> m_accounts;
    std::set<ScheduleKey> m_schedule; // accounts with queued requests, the next to be served first
    std::unordered_map<std::uint64_t, Entry> m_entriesByTicket;
    std::set<std::pair<MonotonicTime, std::uint64_t>> m_ticketsByDeadline;
};

} // namespace coriandergate::dispatch
