#include "dispatch/SlotQueue.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

namespace coriandergate::dispatch {

using namespace std::chrono_literals;
using Decision = SlotQueue::Decision;

namespace {

    auto at(std::chrono::milliseconds time) -> MonotonicTime { return MonotonicTime(time); }

    struct Played {
        int inTime = 0;
        int late = 0; // served, but after the target latency
        int refused = 0;
    };

    // Offers `load` times what five slots can do for 20 s and counts what is served within the target latency. The
    // naive way takes everything and serves first come, first served.
    auto play(double load, bool isNaive, std::uint32_t seed) -> Played
    {
        constexpr auto service = 400ms;
        constexpr auto latency = 1500ms;
        constexpr std::size_t slots = 5;
        std::mt19937 random(seed);
        std::exponential_distribution<double> gap(load * slots / 400.0);
        SlotQueue queue({ .slots = slots,
            .maximumWaiting = isNaive ? std::size_t { 100000 } : SlotQueue::Options {}.maximumWaiting,
            .assumedServiceTime = service });
        Played played;
        std::vector<std::pair<MonotonicTime, MonotonicTime>> running; // end, arrival
        std::vector<MonotonicTime> arrivals;
        const auto runUntil = [&](MonotonicTime now) {
            while (!running.empty()) {
                const auto first = std::min_element(running.begin(), running.end());
                if (first->first > now)
                    return;
                const auto end = first->first;
                ++(end - first->second <= latency ? played.inTime : played.late);
                running.erase(first);
                queue.release(service);
                for (const auto ticket : isNaive ? std::vector<SlotQueue::Ticket> {} : queue.removeExpired(end)) {
                    (void)ticket;
                    ++played.refused;
                }
                while (const auto ticket = queue.grantNext(end))
                    running.emplace_back(end + service, arrivals[*ticket]);
            }
        };
        double time = 0;
        while (time < 20000) {
            time += gap(random);
            const auto now = at(std::chrono::milliseconds(static_cast<int>(time)));
            runUntil(now);
            arrivals.push_back(now);
            const auto startDeadline = isNaive ? now + 1h : now + latency - service;
            const auto decision = queue.reserve({ arrivals.size() - 1, 0, startDeadline }, now);
            if (decision == Decision::Granted)
                running.emplace_back(now + service, now);
            else if (decision == Decision::Refused)
                ++played.refused;
        }
        runUntil(at(1h));
        return played;
    }

} // namespace

TEST_CASE("slots are granted until they are all taken, then requests wait or are refused")
{
    SlotQueue queue({ .slots = 2, .assumedServiceTime = 100ms });
    CHECK(queue.reserve({ 1, 0, at(0ms) }, at(0ms)) == Decision::Granted);
    CHECK(queue.reserve({ 2, 0, at(0ms) }, at(0ms)) == Decision::Granted);
    CHECK(queue.reserve({ 3, 0, at(0ms) }, at(0ms)) == Decision::Refused);
    CHECK(queue.reserve({ 4, 0, at(1000ms) }, at(0ms)) == Decision::Waits);
    CHECK_FALSE(queue.grantNext(at(10ms)));
    queue.release(100ms);
    CHECK(queue.grantNext(at(10ms)) == 4);
    CHECK(queue.load() == TargetLoad { 2, 0, 2 });
}

// Load pattern: a less urgent kind crowding out a more urgent one.
TEST_CASE("the more urgent request goes first, and within a priority the one whose time runs out first")
{
    SlotQueue queue({ .slots = 1, .assumedServiceTime = 10ms });
    CHECK(queue.reserve({ 1, 2, at(0ms) }, at(0ms)) == Decision::Granted);
    CHECK(queue.reserve({ 2, 2, at(5000ms) }, at(0ms)) == Decision::Waits);
    CHECK(queue.reserve({ 3, 1, at(5000ms) }, at(0ms)) == Decision::Waits);
    CHECK(queue.reserve({ 4, 1, at(4000ms) }, at(0ms)) == Decision::Waits);
    std::vector<SlotQueue::Ticket> order;
    for (int i = 0; i < 3; ++i) {
        queue.release(10ms);
        order.push_back(*queue.grantNext(at(100ms)));
    }
    CHECK(order == std::vector<SlotQueue::Ticket> { 4, 3, 2 });
}

TEST_CASE("a request that can't begin in time any more is taken out")
{
    SlotQueue queue({ .slots = 1, .assumedServiceTime = 10ms });
    CHECK(queue.reserve({ 1, 0, at(0ms) }, at(0ms)) == Decision::Granted);
    CHECK(queue.reserve({ 2, 0, at(50ms) }, at(0ms)) == Decision::Waits);
    CHECK(queue.removeExpired(at(49ms)).empty());
    CHECK(queue.removeExpired(at(50ms)) == std::vector<SlotQueue::Ticket> { 2 });
    CHECK_FALSE(queue.cancel(2));
}

TEST_CASE("a target that refused with free slots is given no more than it runs, for a while")
{
    SlotQueue queue({ .slots = 5, .assumedServiceTime = 10ms });
    CHECK(queue.reserve({ 1, 0, at(0ms) }, at(0ms)) == Decision::Granted);
    CHECK(queue.reserve({ 2, 0, at(0ms) }, at(0ms)) == Decision::Granted);
    queue.limitConcurrency(at(300ms));
    CHECK(queue.reserve({ 3, 0, at(0ms) }, at(1ms)) == Decision::Refused);
    CHECK(queue.reserve({ 4, 0, at(0ms) }, at(300ms)) == Decision::Granted);
}

// Load patterns: everyone at once (1.2, 1.7 and 3 times what the slots can do).
TEST_CASE("under overload the slots work for requests that are answered in time")
{
    for (const double load : { 1.2, 1.7, 3.0 }) {
        Played played;
        Played naive;
        for (std::uint32_t seed = 1; seed <= 5; ++seed) {
            const auto one = play(load, false, seed);
            const auto other = play(load, true, seed);
            played.inTime += one.inTime;
            played.late += one.late;
            naive.inTime += other.inTime;
        }
        constexpr int capacity = 5 * 5 * 50; // five seeds, five slots, 50 turns of 400 ms
        INFO("load " << load << ": in time " << played.inTime << " late " << played.late << ", naive " << naive.inTime);
        CHECK(played.inTime >= capacity * 95 / 100);
        CHECK(played.late * 50 <= played.inTime);
        CHECK(played.inTime > 2 * naive.inTime);
    }
}

} // namespace coriandergate::dispatch
