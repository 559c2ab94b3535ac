// The requests that wait for one service's slots, shared fairly between client accounts.
//
// Start-time fair queueing (Goyal, Vin and Cheng, 1996): each account has a virtual time, the slot time it has had;
// the account with the least goes next. The charge is the expected service time at first and is set right when the
// true one is known, so an account of long requests gets fewer of them, not more of the slots.
//
//   FairQueue queue({ .maximumRequests = 512, .maximumRequestsPerAccount = 64 });
//   queue.push({ ticket, deadline, "account-7" }, evicted);
//   if (auto next = queue.pop(expectedServiceTime)) ...
//   queue.correct(next->clientAccount, actual - expected);
//
// Within an account requests leave in the order they came. Not thread safe: the SlotTable's shard lock guards it.
#pragma once

#include "admission/Deadline.h"
#include "admission/Ticket.h"
#include "admission/WaitingRequest.h"

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

// FairQueue costs O(log(accounts that wait)) a request; only accounts that wait or have just run are remembered.
class FairQueue {
public:
    struct Options {
        std::size_t maximumRequests = 512; // requests
        std::size_t maximumRequestsPerAccount = 128; // requests
    };

    enum class PushResult {
        Waiting,
        AccountFull,
        Full,
    };

    explicit FairQueue(Options options)
        : m_options(options)
    {
    }

    // push() lets `request` wait. When the queue is full, the newest request of the account with
    // the most waiting is put out, into `evicted`, if that account has more than this one would then have.
    auto push(const WaitingRequest& request, std::vector<WaitingRequest>& evicted) -> PushResult;

    // pop() takes the request whose turn it is and charges its account `expected`; empty when none waits.
    auto pop(MonotonicDuration expected) -> std::optional<WaitingRequest>;

    // correct() adds the difference of true and expected service time to what the account was charged.
    auto correct(std::string_view clientAccount, MonotonicDuration difference) -> void;

    // remove() takes a request out of turn; false when it doesn't wait here.
    auto remove(Ticket ticket) -> bool;

    // takeExpired() takes out the requests whose deadline is before `limit`, the earliest first.
    auto takeExpired(MonotonicTime limit) -> std::vector<WaitingRequest>;

    // turnsBefore() is the number of requests that a new one of `clientAccount` would wait for, in fair turns.
    [[nodiscard]] auto turnsBefore(std::string_view clientAccount) const -> std::size_t;

    [[nodiscard]] auto size() const -> std::size_t { return m_byTicket.size(); }
    [[nodiscard]] auto isEmpty() const -> bool { return m_byTicket.empty(); }

private:
    struct Account {
        std::string name;
        MonotonicDuration virtualTime = MonotonicDuration::zero();
        std::list<WaitingRequest> waiting;
    };
    struct Place {
        Account* account;
        std::list<WaitingRequest>::iterator position;
    };
    using Turn = std::pair<MonotonicDuration, Account*>;

    auto accountNamed(std::string_view name) -> Account&;
    auto longestAccount() -> Account*;
    auto take(const Place& place) -> WaitingRequest;
    auto forgetWhenIdle() -> void;
    auto forgetSettledAccounts() -> void;

    Options m_options;
    MonotonicDuration m_virtualNow = MonotonicDuration::zero();
    std::map<std::string, Account, std::less<>> m_accounts;
    std::set<Turn> m_turns; // accounts with something waiting
    std::unordered_map<std::uint64_t, Place> m_byTicket;
    std::set<std::pair<MonotonicTime, std::uint64_t>> m_byDeadline;
};

} // namespace coriandergate::admission
