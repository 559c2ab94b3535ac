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

TEST_CASE("a poison request crashes at most two targets, and no other request is refused")
{
    constexpr auto poisonFingerprint = std::uint64_t { 99 };
    for (auto seed = 1U; seed <= 100; ++seed) {
        std::mt19937 random(seed);
        PoisonDetector detector("ledger", {}, MonotonicTime() - 1h);
        std::vector<PoisonStatusTable> daemons(5);
        std::set<std::uint64_t> refused;
        auto crashedTargets = 0;
        auto completed = 0;
        const auto applyToAll = [&](const PoisonStatusUpdate& update, MonotonicTime now) {
            for (auto& daemon : daemons)
                daemon.apply(update, now);
        };
        MonotonicTime now;
        for (auto round = 0; round < 200; ++round, now += 100ms) {
            // One target runs several requests concurrently, each admitted by a random daemon.
            std::vector<std::uint64_t> running;
            for (const auto fingerprint :
                { poisonFingerprint, std::uint64_t { random() % 5 }, std::uint64_t { random() % 5 } }) {
                const auto status = daemons[random() % daemons.size()].statusOf(fingerprint, now);
                const auto decision = status == PoisonStatus::Suspect ? detector.requestPermit(fingerprint, now)
                                                                      : PoisonDetector::PermitDecision::Wait;
                if (status == PoisonStatus::Poison || decision == PoisonDetector::PermitDecision::Refuse)
                    refused.insert(fingerprint);
                else if (status == PoisonStatus::Clear || decision == PoisonDetector::PermitDecision::Grant)
                    running.push_back(fingerprint);
            }
            const auto isCrash = std::ranges::find(running, poisonFingerprint) != running.end();
            crashedTargets += isCrash ? 1 : 0;
            completed += isCrash ? 0 : static_cast<int>(running.size());
            for (const auto fingerprint : running)
                applyToAll(isCrash ? detector.recordCrash(fingerprint, std::to_string(round), now)
                                   : detector.recordCompletion(fingerprint, true, now),
                    now);
        }
        CAPTURE(seed, completed);
        CHECK(crashedTargets <= 2);
        CHECK(refused == std::set<std::uint64_t> { poisonFingerprint });
        CHECK(completed > 50);
    }
}

TEST_CASE("repeated reports of one crash count once, and a poison request is refused until its status expires")
{
    PoisonDetector detector("ledger", {}, MonotonicTime() - 1h);
    PoisonStatusTable table;
    auto now = MonotonicTime() + 1s;
    CHECK(detector.recordCrash(7, "a", now).status == PoisonStatus::Suspect);
    CHECK(detector.requestPermit(7, now) == PoisonDetector::PermitDecision::Grant);
    CHECK(detector.requestPermit(8, now) == PoisonDetector::PermitDecision::Wait);
    CHECK(detector.recordCrash(7, "a", now + 100ms).status == PoisonStatus::Suspect);
    now += 1s;
    CHECK(detector.requestPermit(7, now) == PoisonDetector::PermitDecision::Grant);
    const auto update = detector.recordCrash(7, "b", now);
    CHECK(update.status == PoisonStatus::Poison);
    CHECK(detector.requestPermit(7, now) == PoisonDetector::PermitDecision::Refuse);
    table.apply(update, now);
    table.apply({ "ledger", 7, PoisonStatus::Suspect, 60s }, now);
    CHECK(table.statusOf(7, now + 599s) == PoisonStatus::Poison);
    CHECK(table.statusOf(7, now + 600s) == PoisonStatus::Clear);
    CHECK(table.statusOf(8, now) == PoisonStatus::Clear);
}

TEST_CASE("a new detector grants no permit until those of the previous detector have expired")
{
    PoisonDetector detector("ledger", {}, MonotonicTime());
    CHECK(detector.requestPermit(7, MonotonicTime() + 9s) == PoisonDetector::PermitDecision::Wait);
    CHECK(detector.requestPermit(7, MonotonicTime() + 10s) == PoisonDetector::PermitDecision::Grant);
}
