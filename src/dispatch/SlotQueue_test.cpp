#include "dispatch/SlotQueue.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

namespace coriandergate::dispatch {

using namespace std::chrono_literals;
using Decision = SlotQueue::Decision;

namespace {

    auto at(std::chrono::milliseconds time) -> MonotonicTime { return MonotonicTime(time); }

    struct Result {
        int inTime = 0;
        int late = 0; // served, but not within the target latency
        int refused = 0;
    };

    // Offers `load` times the capacity of five slots for 20 s and counts the requests that are served within the target
    // latency. The baseline queues every request and serves in order of arrival.
    auto simulate(double load, bool isBaseline, std::uint32_t seed) -> Result
    {
        constexpr auto serviceTime = 400ms;
        constexpr auto targetLatency = 1500ms;
        constexpr std::size_t slots = 5;
        std::mt19937 random(seed);
        std::exponential_distribution<double> gap(load * slots / 400.0); // in ms; 400 is the service time
        SlotQueue queue({ .slots = slots,
            .maximumQueueLength = isBaseline ? std::size_t { 100000 } : SlotQueue::Options {}.maximumQueueLength,
            .initialServiceTime = serviceTime });
        Result result;
        std::vector<std::pair<MonotonicTime, MonotonicTime>> running; // end, arrival
        std::vector<MonotonicTime> arrivals;
        const auto runUntil = [&](MonotonicTime now) {
            while (!running.empty()) {
                const auto first = std::min_element(running.begin(), running.end());
                if (first->first > now)
                    return;
                const auto end = first->first;
                ++(end - first->second <= targetLatency ? result.inTime : result.late);
                running.erase(first);
                queue.release(serviceTime);
                for (const auto ticket : isBaseline ? std::vector<SlotQueue::Ticket> {} : queue.removeExpired(end)) {
                    (void)ticket;
                    ++result.refused;
                }
                while (const auto ticket = queue.grantNext(end))
                    running.emplace_back(end + serviceTime, arrivals[*ticket]);
            }
        };
        double time = 0;
        while (time < 20000) {
            time += gap(random);
            const auto now = at(std::chrono::milliseconds(static_cast<int>(time)));
            runUntil(now);
            arrivals.push_back(now);
            const auto startDeadline = isBaseline ? now + 1h : now + targetLatency - serviceTime;
            const auto decision = queue.reserve({ arrivals.size() - 1, 0, startDeadline }, now);
            if (decision == Decision::Granted)
                running.emplace_back(now + serviceTime, now);
            else if (decision == Decision::Refused)
                ++result.refused;
        }
        runUntil(at(1h));
        return result;
    }

} // namespace

TEST_CASE("a request that must wait for another reason than the slots is queued, or refused if it can't start in time")
{
    SlotQueue queue({ .slots = 2 });
    CHECK(queue.reserve({ .ticket = 1, .startDeadline = at(500ms) }, at(0ms), 400ms) == Decision::Queued);
    CHECK(queue.load().running == 0);
    CHECK(queue.queuedBefore(0) == 1);
    CHECK(queue.reserve({ .ticket = 2, .startDeadline = at(500ms) }, at(0ms), 600ms) == Decision::Refused);
    CHECK(queue.grantNext(at(400ms)) == 1);
    CHECK(queue.reserve({ .ticket = 3, .startDeadline = at(500ms) }, at(400ms)) == Decision::Granted);
}

TEST_CASE("slots are granted while free, then requests are queued or refused")
{
    SlotQueue queue({ .slots = 2, .initialServiceTime = 100ms });
    CHECK(queue.reserve({ 1, 0, at(0ms) }, at(0ms)) == Decision::Granted);
    CHECK(queue.reserve({ 2, 0, at(0ms) }, at(0ms)) == Decision::Granted);
    CHECK(queue.reserve({ 3, 0, at(0ms) }, at(0ms)) == Decision::Refused);
    CHECK(queue.reserve({ 4, 0, at(1000ms) }, at(0ms)) == Decision::Queued);
    CHECK_FALSE(queue.grantNext(at(10ms)));
    queue.release(100ms);
    CHECK(queue.grantNext(at(10ms)) == 4);
    CHECK(queue.load() == TargetLoad { 2, 0, 2 });
}

// Load pattern: low-priority requests crowding out high-priority ones.
TEST_CASE("requests are granted by priority, and within a priority by earliest deadline")
{
    SlotQueue queue({ .slots = 1, .initialServiceTime = 10ms });
    CHECK(queue.reserve({ 1, 2, at(0ms) }, at(0ms)) == Decision::Granted);
    CHECK(queue.reserve({ 2, 2, at(5000ms) }, at(0ms)) == Decision::Queued);
    CHECK(queue.reserve({ 3, 1, at(5000ms) }, at(0ms)) == Decision::Queued);
    CHECK(queue.reserve({ 4, 1, at(4000ms) }, at(0ms)) == Decision::Queued);
    std::vector<SlotQueue::Ticket> order;
    for (int i = 0; i < 3; ++i) {
        queue.release(10ms);
        order.push_back(*queue.grantNext(at(100ms)));
    }
    CHECK(order == std::vector<SlotQueue::Ticket> { 4, 3, 2 });
}

TEST_CASE("a request whose start deadline has passed is removed from the queue")
{
    SlotQueue queue({ .slots = 1, .initialServiceTime = 10ms });
    CHECK(queue.reserve({ 1, 0, at(0ms) }, at(0ms)) == Decision::Granted);
    CHECK(queue.reserve({ 2, 0, at(50ms) }, at(0ms)) == Decision::Queued);
    CHECK(queue.removeExpired(at(49ms)).empty());
    CHECK(queue.removeExpired(at(50ms)) == std::vector<SlotQueue::Ticket> { 2 });
    CHECK_FALSE(queue.cancel(2));
}

TEST_CASE("after limitConcurrency() no more requests run at once than before, until the limit ends")
{
    SlotQueue queue({ .slots = 5, .initialServiceTime = 10ms });
    CHECK(queue.reserve({ 1, 0, at(0ms) }, at(0ms)) == Decision::Granted);
    CHECK(queue.reserve({ 2, 0, at(0ms) }, at(0ms)) == Decision::Granted);
    queue.limitConcurrency(at(300ms));
    CHECK(queue.reserve({ 3, 0, at(0ms) }, at(1ms)) == Decision::Refused);
    CHECK(queue.reserve({ 4, 0, at(0ms) }, at(300ms)) == Decision::Granted);
}

// Load patterns: all callers send at once (1.2, 1.7 and 3 times the capacity of the slots).
TEST_CASE("under overload the slots are used for requests that complete in time")
{
    for (const double load : { 1.2, 1.7, 3.0 }) {
        Result result;
        Result baseline;
        for (std::uint32_t seed = 1; seed <= 5; ++seed) {
            const auto run = simulate(load, false, seed);
            const auto baselineRun = simulate(load, true, seed);
            result.inTime += run.inTime;
            result.late += run.late;
            baseline.inTime += baselineRun.inTime;
        }
        constexpr int capacity = 5 * 5 * 50; // five seeds, five slots, 50 service times of 400 ms
        INFO("load " << load << ": in time " << result.inTime << " late " << result.late << ", baseline "
                     << baseline.inTime);
        CHECK(result.inTime >= capacity * 95 / 100);
        CHECK(result.late * 50 <= result.inTime);
        CHECK(result.inTime > 2 * baseline.inTime);
    }
}

} // namespace coriandergate::dispatch
