#include "poison/SuspectJudge.h"

#include "poison/SuspectTable.h"

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
        SuspectJudge judge("ledger", {}, MonotonicTime() - 1h);
        std::vector<SuspectTable> daemons(5);
        std::set<std::uint64_t> refused;
        auto lost = 0;
        auto served = 0;
        const auto tell = [&](const SuspectNotice& notice, MonotonicTime now) {
            for (auto& daemon : daemons)
                daemon.apply(notice, now);
        };
        MonotonicTime now;
        for (auto round = 0; round < 200; ++round, now += 100ms) {
            // One target runs a handful of requests side by side, each of which came through some daemon.
            std::vector<std::uint64_t> running;
            for (const auto fingerprint : { poison, std::uint64_t { random() % 5 }, std::uint64_t { random() % 5 } }) {
                const auto standing = daemons[random() % daemons.size()].standingOf(fingerprint, now);
                const auto permission = standing == Standing::Suspect ? judge.requestPermit(fingerprint, now)
                                                                      : SuspectJudge::Permission::Wait;
                if (standing == Standing::Poison || permission == SuspectJudge::Permission::Refuse)
                    refused.insert(fingerprint);
                else if (standing == Standing::Clear || permission == SuspectJudge::Permission::Run)
                    running.push_back(fingerprint);
            }
            const auto isCrash = std::ranges::find(running, poison) != running.end();
            lost += isCrash ? 1 : 0;
            served += isCrash ? 0 : static_cast<int>(running.size());
            for (const auto fingerprint : running)
                tell(isCrash ? judge.crashed(fingerprint, std::to_string(round), now)
                             : judge.finished(fingerprint, true, now),
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
    SuspectJudge judge("ledger", {}, MonotonicTime() - 1h);
    SuspectTable table;
    auto now = MonotonicTime() + 1s;
    CHECK(judge.crashed(7, "a", now).standing == Standing::Suspect);
    CHECK(judge.requestPermit(7, now) == SuspectJudge::Permission::Run);
    CHECK(judge.requestPermit(8, now) == SuspectJudge::Permission::Wait);
    CHECK(judge.crashed(7, "a", now + 100ms).standing == Standing::Suspect);
    now += 1s;
    CHECK(judge.requestPermit(7, now) == SuspectJudge::Permission::Run);
    const auto notice = judge.crashed(7, "b", now);
    CHECK(notice.standing == Standing::Poison);
    CHECK(judge.requestPermit(7, now) == SuspectJudge::Permission::Refuse);
    table.apply(notice, now);
    table.apply({ "ledger", 7, Standing::Suspect, 60s }, now);
    CHECK(table.standingOf(7, now + 599s) == Standing::Poison);
    CHECK(table.standingOf(7, now + 600s) == Standing::Clear);
    CHECK(table.standingOf(8, now) == Standing::Clear);
}

TEST_CASE("a new judge waits until the permits of the former one are over")
{
    SuspectJudge judge("ledger", {}, MonotonicTime());
    CHECK(judge.requestPermit(7, MonotonicTime() + 9s) == SuspectJudge::Permission::Wait);
    CHECK(judge.requestPermit(7, MonotonicTime() + 10s) == SuspectJudge::Permission::Run);
}
