#include "dispatch/FairQueue.h"

#include <catch2/catch.hpp>
#include <map>

namespace coriandergate::dispatch {

using namespace std::chrono_literals;

namespace {

    constexpr auto serviceTime = 400ms;

    struct Queue {
        auto push(const std::string& account, double weight = 1, MonotonicTime deadline = MonotonicTime(1h)) -> void
        {
            std::vector<FairQueue::Request> evicted;
            REQUIRE(queue.push({ ++ticket, deadline, account, weight }, evicted) == FairQueue::PushResult::Queued);
        }

        auto pop() -> FairQueue::Request
        {
            auto request = queue.pop(serviceTime);
            REQUIRE(request);
            return std::move(*request);
        }

        FairQueue queue { { .maximumRequests = 100000,
            .maximumRequestsPerAccount = 100000,
            .accountOrder = FairQueue::AccountOrder::EarliestDeadline } };
        std::uint64_t ticket = 0;
    };

} // namespace

TEST_CASE_METHOD(Queue, "accounts that always wait are served in proportion to their weights")
{
    for (int i = 0; i < 300; ++i) {
        push("one", 1);
        push("three", 3);
        push("half", 0.5);
    }
    std::map<std::string, int> served;
    for (int i = 0; i < 360; ++i)
        ++served[pop().clientAccount];
    CHECK(served["three"] == Approx(240).margin(2));
    CHECK(served["one"] == Approx(80).margin(2));
    CHECK(served["half"] == Approx(40).margin(2));
}

TEST_CASE_METHOD(Queue, "an account whose requests take longer gets fewer of them served")
{
    for (int i = 0; i < 300; ++i) {
        push("short");
        push("long");
    }
    std::map<std::string, int> served;
    for (int i = 0; i < 200; ++i) {
        const auto account = pop().clientAccount;
        ++served[account];
        if (account == "long")
            queue.adjustCharge(account, 2 * serviceTime);
    }
    CHECK(served["short"] == Approx(150).margin(2));
}

TEST_CASE_METHOD(Queue, "the requests of an account are served by deadline, and by arrival where it is the same")
{
    push("a", 1, MonotonicTime(3s));
    push("a", 1, MonotonicTime(1s));
    push("a", 1, MonotonicTime(3s));
    push("a", 1, MonotonicTime(2s));
    std::vector<std::uint64_t> order;
    while (!queue.isEmpty())
        order.push_back(pop().ticket);
    CHECK(order == std::vector<std::uint64_t> { 2, 4, 1, 3 });
}

// Load pattern: an account that was idle sends many requests at once.
TEST_CASE_METHOD(Queue, "idle accounts gather no credit")
{
    for (int i = 0; i < 2000; ++i)
        push("busy");
    push("idle");
    CHECK(pop().clientAccount == "busy");
    CHECK(pop().clientAccount == "idle");
    for (int i = 0; i < 1000; ++i)
        CHECK(pop().clientAccount == "busy");
    for (int i = 0; i < 100; ++i)
        push("idle");
    std::map<std::string, int> served;
    for (int i = 0; i < 20; ++i)
        ++served[pop().clientAccount];
    CHECK(served["idle"] == Approx(10).margin(1));
}

TEST_CASE_METHOD(Queue, "requestsAhead() is the place in which a new request is served")
{
    for (int i = 0; i < 20; ++i) {
        push("large", 2);
        if (i % 4 == 0)
            push("small", 1);
    }
    for (int i = 0; i < 5; ++i)
        pop();
    const auto account = GENERATE(as<std::string> {}, "large", "small", "new");
    const double weight = account == "large" ? 2 : 1;
    const auto expected = queue.requestsAhead(account, weight, serviceTime);
    push(account, weight);
    std::size_t before = 0;
    while (pop().ticket != ticket)
        ++before;
    CHECK(static_cast<double>(before) == Approx(expected).margin(2));
}

// Load pattern: many accounts, each with few requests, while others always wait.
TEST_CASE_METHOD(Queue, "accounts that were served are forgotten, and no state remains once the queue is empty")
{
    push("first");
    std::size_t mostKnown = 0;
    for (int i = 0; i < 100000; ++i) {
        push("account-" + std::to_string(i));
        pop();
        mostKnown = std::max(mostKnown, queue.knownAccounts());
    }
    CHECK(mostKnown <= 80);
    pop();
    CHECK(queue.knownAccounts() == 0);
}

} // namespace coriandergate::dispatch
