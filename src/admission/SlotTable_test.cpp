#include "admission/SlotTable.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>

using namespace coriandergate;
using namespace coriandergate::admission;
using namespace std::chrono_literals;

namespace {

const MonotonicTime start {};

auto request(std::string account, MonotonicDuration remaining, MonotonicTime now) -> SlotRequest
{
    return { "orders", std::move(account), Deadline::after(remaining, now) };
}

} // namespace

TEST_CASE("a queued request is admitted when a slot is released, and slots are never exceeded")
{
    SlotTable table({});
    std::vector<DequeueDecision> dequeued;
    CHECK(std::get<Refused>(table.submit(request("a", 1s, start), start, dequeued)).reason == RefusalReason::NoTarget);
    table.setTarget("orders", "t1", 1);
    const auto first = std::get<Admitted>(table.submit(request("a", 1s, start), start, dequeued));
    const auto second = std::get<Queued>(table.submit(request("a", 1s, start), start, dequeued));
    CHECK(first.target == "t1");
    CHECK_FALSE(table.cancel(first.ticket));
    table.release(second.ticket, start, dequeued); // still queued: no effect
    CHECK(dequeued.empty());
    table.release(first.ticket, start + 5ms, dequeued);
    table.release(first.ticket, start + 5ms, dequeued); // already released: no effect
    REQUIRE(dequeued.size() == 1);
    CHECK(std::get<Admitted>(dequeued[0]).ticket == second.ticket);
    CHECK(table.usage("orders").running == 1);
}

TEST_CASE("requests that would miss their deadline are refused on submission or while queued")
{
    SlotTable table({ .queue = {}, .initialServiceTime = 10ms });
    std::vector<DequeueDecision> dequeued;
    table.setTarget("orders", "t1", 1);
    const auto admitted = std::get<Admitted>(table.submit(request("a", 1s, start), start, dequeued));
    const auto tooShort = std::get<Refused>(table.submit(request("b", 15ms, start), start, dequeued));
    CHECK(tooShort.reason == RefusalReason::DeadlineTooShort);
    CHECK(tooShort.retryAfter == 10ms);
    const auto queued = std::get<Queued>(table.submit(request("b", 25ms, start), start, dequeued));
    table.processQueues(start + 14ms, dequeued);
    CHECK(dequeued.empty());
    table.processQueues(start + 16ms, dequeued);
    REQUIRE(dequeued.size() == 1);
    CHECK(std::get<Refused>(dequeued[0]).ticket == queued.ticket);
    table.drainTarget("orders", "t1");
    table.release(admitted.ticket, start + 20ms, dequeued);
    CHECK(table.usage("orders").slots == 0);
}

TEST_CASE(
    "draining the last target refuses queued requests, and a full queue evicts from the account with most requests")
{
    SlotTable table({ .queue = { .maximumRequests = 3, .maximumRequestsPerAccount = 3 }, .initialServiceTime = 1ms });
    std::vector<DequeueDecision> dequeued;
    table.setTarget("orders", "t1", 1);
    std::vector<SubmitDecision> decisions;
    for (const auto* account : { "a", "a", "a", "a", "b", "a", "b", "c" })
        decisions.push_back(table.submit(request(account, 1s, start), start, dequeued));
    CHECK(std::holds_alternative<Queued>(decisions[4]));
    CHECK(std::get<Refused>(decisions[5]).reason == RefusalReason::QueueFull);
    CHECK(std::get<Refused>(decisions[6]).reason == RefusalReason::QueueFull);
    CHECK(std::holds_alternative<Queued>(decisions[7]));
    REQUIRE(dequeued.size() == 2);
    CHECK(std::get<Refused>(dequeued[0]).ticket == std::get<Queued>(decisions[3]).ticket);
    dequeued.clear();
    table.drainTarget("orders", "t1");
    table.processQueues(start, dequeued);
    CHECK(dequeued.size() == 3);
    CHECK(std::get<Refused>(dequeued[0]).reason == RefusalReason::NoTarget);
}

TEST_CASE("service time is shared evenly between accounts, however long their requests take", "[property]")
{
    SlotTable table({ .queue = { .maximumRequests = 64, .maximumRequestsPerAccount = 16 }, .initialServiceTime = 1ms });
    std::vector<DequeueDecision> dequeued;
    table.setTarget("orders", "t1", 3);
    table.setTarget("orders", "t2", 4);
    std::mt19937_64 random(11);
    std::multimap<MonotonicTime, std::pair<Ticket, std::string>> completions;
    std::map<std::uint64_t, std::string> accountByTicket;
    std::map<std::string, MonotonicDuration> serviceTimeByAccount;
    auto now = start;
    const auto startRequest = [&](Ticket ticket, const std::string& account) {
        const auto serviceTime = account == "long" ? 20ms : 2ms;
        completions.emplace(now + serviceTime, std::pair(ticket, account));
        serviceTimeByAccount[account] += serviceTime;
    };
    const auto runDequeued = [&] {
        for (const auto& decision : std::exchange(dequeued, {})) {
            if (const auto* admitted = std::get_if<Admitted>(&decision))
                startRequest(admitted->ticket, accountByTicket.at(admitted->ticket.value));
        }
        REQUIRE(completions.size() <= 7);
    };
    for (int step = 0; step < 20000; ++step) {
        now += 500us;
        while (!completions.empty() && completions.begin()->first <= now) {
            const auto ticket = completions.begin()->second.first;
            completions.erase(completions.begin());
            table.release(ticket, now, dequeued);
            runDequeued();
        }
        const std::string account = std::array { "long", "short", "many", "many" }[random() % 4];
        const auto decision = table.submit(request(account, 2s, now), now, dequeued);
        if (const auto* admitted = std::get_if<Admitted>(&decision))
            startRequest(admitted->ticket, account);
        if (const auto* queued = std::get_if<Queued>(&decision))
            accountByTicket[queued->ticket.value] = account;
        runDequeued();
    }
    // "short" needs less than a third of the slots and gets all that it needs; the other two share the rest.
    CHECK(serviceTimeByAccount["long"] > 3 * serviceTimeByAccount["many"] / 4);
    CHECK(serviceTimeByAccount["short"] > 4500ms);
}
