// A fair queue between client accounts for the requests that wait for a slot.
//
// Uses start-time fair queueing (Goyal, Vin and Cheng, 1996): each account has a virtual time, the service time charged
// to it so far, and the account with the lowest virtual time is served next. pop() charges the expected service time;
// adjustCharge() corrects it once the actual time is known. An account with long requests therefore gets fewer of them
// served, not a larger share of the slots.
//
//   FairQueue queue({ .maximumRequests = 512, .maximumRequestsPerAccount = 64 });
//   queue.push({ ticket, deadline, "account-7" }, evicted);
//   if (auto next = queue.pop(expectedServiceTime)) ...
//   queue.adjustCharge(next->clientAccount, actual - expected);
//
// Requests of one account are served first in, first out. Not thread-safe: guarded by the shard lock of the SlotTable.
#pragma once

#include "admission/Deadline.h"
#include "admission/QueuedRequest.h"
#include "admission/Ticket.h"

#include <cstddef>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace coriandergate::admission {

// FairQueue takes O(log(queued requests)) per request; a push into a full queue also scans the accounts with queued
// requests. It keeps only accounts that have queued requests or were served recently.
class FairQueue {
public:
    struct Options {
        std::size_t maximumRequests = 512;
        std::size_t maximumRequestsPerAccount = 128;
    };

    enum class PushResult {
        Queued,
        AccountFull, // the account has maximumRequestsPerAccount requests in the queue
        Full, // the queue has maximumRequests requests, and push() could evict none
    };

    explicit FairQueue(Options options)
        : m_options(options)
    {
    }

    // push() queues `request`. When the queue is full, the newest request of the account with the most queued requests
    // is moved to `evicted`, provided that account has more of them than this one would have.
    auto push(const QueuedRequest& request, std::vector<QueuedRequest>& evicted) -> PushResult;

    // pop() removes the next request and charges its account `expectedServiceTime`; empty when the queue is empty.
    auto pop(MonotonicDuration expectedServiceTime) -> std::optional<QueuedRequest>;

    // adjustCharge() adds `difference`, the actual minus the charged service time, to the account's virtual time.
    auto adjustCharge(std::string_view clientAccount, MonotonicDuration difference) -> void;

    // remove() removes a request from anywhere in the queue; false when it is not queued.
    auto remove(Ticket ticket) -> bool;

    // removeDueBefore() removes the requests whose deadline is before `limit`, the earliest first.
    auto removeDueBefore(MonotonicTime limit) -> std::vector<QueuedRequest>;

    // requestsAhead() estimates how many queued requests would be served before a new one of `clientAccount`, if all
    // accounts were served in turn.
    [[nodiscard]] auto requestsAhead(std::string_view clientAccount) const -> std::size_t;

    [[nodiscard]] auto size() const -> std::size_t { return m_entriesByTicket.size(); }
    [[nodiscard]] auto isEmpty() const -> bool { return m_entriesByTicket.empty(); }

private:
    struct Account {
        std::string name;
        MonotonicDuration virtualTime = MonotonicDuration::zero();
        std::list<QueuedRequest> requests;
    };
    struct Entry {
        Account* account;
        std::list<QueuedRequest>::iterator position;
    };
    using ScheduleKey = std::pair<MonotonicDuration, Account*>; // virtual time, account

    auto findOrAddAccount(std::string_view name) -> Account&;
    auto accountWithMostRequests() -> Account*;
    auto removeEntry(const Entry& entry) -> QueuedRequest;
    auto resetWhenEmpty() -> void;
    auto removeIdleAccounts() -> void;

    Options m_options;
    MonotonicDuration m_systemVirtualTime = MonotonicDuration::zero(); // that of the account served last
    std::map<std::string, Account, std::less<>> m_accounts;
    std::set<ScheduleKey> m_schedule; // accounts with queued requests, the next to be served first
    std::unordered_map<std::uint64_t, Entry> m_entriesByTicket;
    std::set<std::pair<MonotonicTime, std::uint64_t>> m_ticketsByDeadline;
};

} // namespace coriandergate::admission
