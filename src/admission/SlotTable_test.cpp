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

TEST_CASE("a waiting request runs when a slot is released, and slots are never exceeded")
{
    SlotTable table({});
    std::vector<DequeueDecision> others;
    CHECK(std::get<Refused>(table.submit(request("a", 1s, start), start, others)).reason == RefusalReason::NoTarget);
    table.setTarget("orders", "t1", 1);
    const auto first = std::get<Admitted>(table.submit(request("a", 1s, start), start, others));
    const auto second = std::get<Queued>(table.submit(request("a", 1s, start), start, others));
    CHECK(first.target == "t1");
    CHECK_FALSE(table.cancel(first.ticket));
    table.release(second.ticket, start, others); // it doesn't run yet
    CHECK(others.empty());
    table.release(first.ticket, start + 5ms, others);
    table.release(first.ticket, start + 5ms, others); // a second time
    REQUIRE(others.size() == 1);
    CHECK(std::get<Admitted>(others[0]).ticket == second.ticket);
    CHECK(table.usage("orders").running == 1);
}

TEST_CASE("what can't be answered in time is refused at once, or when its turn comes")
{
    SlotTable table({ .queue = {}, .initialServiceTime = 10ms });
    std::vector<DequeueDecision> others;
    table.setTarget("orders", "t1", 1);
    const auto runs = std::get<Admitted>(table.submit(request("a", 1s, start), start, others));
    const auto tooShort = std::get<Refused>(table.submit(request("b", 15ms, start), start, others));
    CHECK(tooShort.reason == RefusalReason::DeadlineTooShort);
    CHECK(tooShort.retryAfter == 10ms);
    const auto waits = std::get<Queued>(table.submit(request("b", 25ms, start), start, others));
    table.processQueues(start + 14ms, others);
    CHECK(others.empty());
    table.processQueues(start + 16ms, others);
    REQUIRE(others.size() == 1);
    CHECK(std::get<Refused>(others[0]).ticket == waits.ticket);
    table.drainTarget("orders", "t1");
    table.release(runs.ticket, start + 20ms, others);
    CHECK(table.usage("orders").slots == 0);
}

TEST_CASE("closing the last target refuses what waits, and a full queue makes room for the account with less")
{
    SlotTable table({ .queue = { .maximumRequests = 3, .maximumRequestsPerAccount = 3 }, .initialServiceTime = 1ms });
    std::vector<DequeueDecision> others;
    table.setTarget("orders", "t1", 1);
    std::vector<SubmitDecision> decisions;
    for (const auto* account : { "a", "a", "a", "a", "b", "a", "b", "c" })
        decisions.push_back(table.submit(request(account, 1s, start), start, others));
    CHECK(std::holds_alternative<Queued>(decisions[4]));
    CHECK(std::get<Refused>(decisions[5]).reason == RefusalReason::QueueFull);
    CHECK(std::get<Refused>(decisions[6]).reason == RefusalReason::QueueFull);
    CHECK(std::holds_alternative<Queued>(decisions[7]));
    REQUIRE(others.size() == 2);
    CHECK(std::get<Refused>(others[0]).ticket == std::get<Queued>(decisions[3]).ticket);
    others.clear();
    table.drainTarget("orders", "t1");
    table.processQueues(start, others);
    CHECK(others.size() == 3);
    CHECK(std::get<Refused>(others[0]).reason == RefusalReason::NoTarget);
}

TEST_CASE("slot time is shared evenly however long an account's requests are", "[property]")
{
    SlotTable table({ .queue = { .maximumRequests = 64, .maximumRequestsPerAccount = 16 }, .initialServiceTime = 1ms });
    std::vector<DequeueDecision> dispatches;
    table.setTarget("orders", "t1", 3);
    table.setTarget("orders", "t2", 4);
    std::mt19937_64 random(11);
    std::multimap<MonotonicTime, std::pair<Ticket, std::string>> ends;
    std::map<std::uint64_t, std::string> waiting;
    std::map<std::string, MonotonicDuration> had;
    auto now = start;
    const auto run = [&](Ticket ticket, const std::string& account) {
        const auto takes = account == "long" ? 20ms : 2ms;
        ends.emplace(now + takes, std::pair(ticket, account));
        had[account] += takes;
    };
    const auto settle = [&] {
        for (const auto& dispatch : std::exchange(dispatches, {})) {
            if (const auto* runs = std::get_if<Admitted>(&dispatch))
                run(runs->ticket, waiting.at(runs->ticket.value));
        }
        REQUIRE(ends.size() <= 7);
    };
    for (int step = 0; step < 20000; ++step) {
        now += 500us;
        while (!ends.empty() && ends.begin()->first <= now) {
            const auto ticket = ends.begin()->second.first;
            ends.erase(ends.begin());
            table.release(ticket, now, dispatches);
            settle();
        }
        const std::string account = std::array { "long", "short", "many", "many" }[random() % 4];
        const auto decision = table.submit(request(account, 2s, now), now, dispatches);
        if (const auto* runs = std::get_if<Admitted>(&decision))
            run(runs->ticket, account);
        if (const auto* queued = std::get_if<Queued>(&decision))
            waiting[queued->ticket.value] = account;
        settle();
    }
    // "short" asks for less than a third of the slots and gets all of it; the other two share the rest.
    CHECK(had["long"] > 3 * had["many"] / 4);
    CHECK(had["short"] > 4500ms);
}
