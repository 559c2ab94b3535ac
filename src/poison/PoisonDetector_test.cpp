#include "poison/PoisonDetector.h"

#include "poison/PoisonStatusTable.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <set>
#include <vector>

using namespace coriandergate;
using namespace coriandergate::poison;
using namespace std::chrono_literals;

TEST_CASE("a request that crashes its targets takes two at most, and nothing that ran beside it is refused")
{
    constexpr auto poison = std::uint64_t { 99 };
    for (auto seed = 1U; seed <= 100; ++seed) {
        std::mt19937 random(seed);
        PoisonDetector judge("ledger", {}, MonotonicTime() - 1h);
        std::vector<PoisonStatusTable> daemons(5);
        std::set<std::uint64_t> refused;
        auto lost = 0;
        auto served = 0;
        const auto tell = [&](const PoisonStatusUpdate& notice, MonotonicTime now) {
            for (auto& daemon : daemons)
                daemon.apply(notice, now);
        };
        MonotonicTime now;
        for (auto round = 0; round < 200; ++round, now += 100ms) {
            // One target runs a handful of requests side by side, each of which came through some daemon.
            std::vector<std::uint64_t> running;
            for (const auto fingerprint : { poison, std::uint64_t { random() % 5 }, std::uint64_t { random() % 5 } }) {
                const auto standing = daemons[random() % daemons.size()].statusOf(fingerprint, now);
                const auto permission = standing == PoisonStatus::Suspect ? judge.requestPermit(fingerprint, now)
                                                                          : PoisonDetector::PermitDecision::Wait;
                if (standing == PoisonStatus::Poison || permission == PoisonDetector::PermitDecision::Refuse)
                    refused.insert(fingerprint);
                else if (standing == PoisonStatus::Clear || permission == PoisonDetector::PermitDecision::Grant)
                    running.push_back(fingerprint);
            }
            const auto isCrash = std::ranges::find(running, poison) != running.end();
            lost += isCrash ? 1 : 0;
            served += isCrash ? 0 : static_cast<int>(running.size());
            for (const auto fingerprint : running)
                tell(isCrash ? judge.recordCrash(fingerprint, std::to_string(round), now)
                             : judge.recordCompletion(fingerprint, true, now),
                    now);
        }
        CAPTURE(seed, served);
        CHECK(lost <= 2);
        CHECK(refused == std::set<std::uint64_t> { poison });
        CHECK(served > 50);
    }
}

TEST_CASE("one crash reported twice is one crash, and poison is refused for a bounded time")
{
    PoisonDetector judge("ledger", {}, MonotonicTime() - 1h);
    PoisonStatusTable table;
    auto now = MonotonicTime() + 1s;
    CHECK(judge.recordCrash(7, "a", now).status == PoisonStatus::Suspect);
    CHECK(judge.requestPermit(7, now) == PoisonDetector::PermitDecision::Grant);
    CHECK(judge.requestPermit(8, now) == PoisonDetector::PermitDecision::Wait);
    CHECK(judge.recordCrash(7, "a", now + 100ms).status == PoisonStatus::Suspect);
    now += 1s;
    CHECK(judge.requestPermit(7, now) == PoisonDetector::PermitDecision::Grant);
    const auto notice = judge.recordCrash(7, "b", now);
    CHECK(notice.status == PoisonStatus::Poison);
    CHECK(judge.requestPermit(7, now) == PoisonDetector::PermitDecision::Refuse);
    table.apply(notice, now);
    table.apply({ "ledger", 7, PoisonStatus::Suspect, 60s }, now);
    CHECK(table.statusOf(7, now + 599s) == PoisonStatus::Poison);
    CHECK(table.statusOf(7, now + 600s) == PoisonStatus::Clear);
    CHECK(table.statusOf(8, now) == PoisonStatus::Clear);
}

TEST_CASE("a new judge waits until the permits of the former one are over")
{
    PoisonDetector judge("ledger", {}, MonotonicTime());
    CHECK(judge.requestPermit(7, MonotonicTime() + 9s) == PoisonDetector::PermitDecision::Wait);
    CHECK(judge.requestPermit(7, MonotonicTime() + 10s) == PoisonDetector::PermitDecision::Grant);
}
