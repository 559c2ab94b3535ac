#include "dispatch/Evacuations.h"

#include "dispatch/LoadBalancer.h"

#include <catch2/catch.hpp>
#include <map>

namespace coriandergate::dispatch {

using namespace std::chrono_literals;

namespace {

    auto at(std::chrono::milliseconds time) -> MonotonicTime { return MonotonicTime(time); }

    // Entries in the data centre "west-a" and targets in three, replayed in steps of 10 ms. Every target has 5 slots
    // and serves a request in 200 ms; 160 requests a second take 0.53 of all slots.
    struct Replay {
        static constexpr std::size_t s_slots = 5;
        static constexpr std::size_t s_targetsEach = 4;
        static constexpr std::chrono::milliseconds s_step { 10 };
        static constexpr std::chrono::milliseconds s_serviceTime { 200 };
        static constexpr std::size_t s_entries = 8;

        Replay()
        {
            std::vector<LoadBalancer::Description> targets;
            for (const auto* dataCentre : { "west-a", "west-b", "west-c" }) {
                for (std::size_t i = 0; i < s_targetsEach; ++i)
                    targets.push_back({ .address = std::string(dataCentre) + std::to_string(i),
                        .service = "ledger",
                        .locality = { "west", dataCentre },
                        .slots = s_slots });
            }
            for (auto& entry : entries)
                entry.setTargets(targets);
        }

        auto dataCentreOf(const std::string& address) -> std::string { return address.substr(0, 6); }

        // As TargetSearch does, asks three targets for a free slot before the request waits at one.
        auto findTarget(LoadBalancer& entry) -> LoadBalancer::TargetPointer
        {
            std::vector<std::string> excluded;
            LoadBalancer::TargetPointer target;
            for (std::uint64_t tries = 0; tries < 3; ++tries) {
                const auto next
                    = entry.choose({ .service = "ledger", .excluded = excluded, .evacuations = &evacuations }, now,
                        (requests * 4 + tries) * 0x9e3779b97f4a7c15ULL);
                if (!next)
                    return target;
                target = next;
                const auto& address = target->description.address;
                if (running[address].size() < s_slots)
                    return target;
                excluded.push_back(address);
                recordLoad(entry, target);
            }
            return target;
        }

        auto recordLoad(LoadBalancer& entry, const LoadBalancer::TargetPointer& target) -> void
        {
            const auto taken = running[target->description.address].size();
            const auto waiting = taken > s_slots ? taken - s_slots : 0;
            entry.recordLoad(*target, { taken - waiting, waiting, s_slots }, 0, now);
        }

        // run() replays until `end`, with `perStep` requests a step, and counts where they go.
        auto run(MonotonicTime end, double perStep) -> std::map<std::string, int>
        {
            std::map<std::string, int> sent;
            for (; now < end; now += s_step) {
                for (auto& [address, ends] : running) {
                    while (!ends.empty() && ends.front() <= now)
                        ends.erase(ends.begin());
                }
                for (due += perStep; due >= 1; due -= 1) {
                    auto& entry = entries[++requests % s_entries];
                    const auto target = findTarget(entry);
                    if (!target) {
                        ++refused;
                        continue;
                    }
                    const auto& address = target->description.address;
                    auto& ends = running[address];
                    // What finds no free slot waits in the queue of its target.
                    const auto startsAt = ends.size() < s_slots ? now : ends[ends.size() - s_slots];
                    ends.push_back(std::max(startsAt, now) + s_serviceTime);
                    longWaits += startsAt > now + s_serviceTime ? 1 : 0;
                    recordLoad(entry, target);
                    ++sent[dataCentreOf(address)];
                }
            }
            return sent;
        }

        Evacuations evacuations;
        std::array<LoadBalancer, s_entries> entries { makeEntry(), makeEntry(), makeEntry(), makeEntry(), makeEntry(),
            makeEntry(), makeEntry(), makeEntry() };
        std::map<std::string, std::vector<MonotonicTime>> running; // ends of the requests by address
        MonotonicTime now = at(1000ms);
        double due = 0;
        std::uint64_t requests = 0;
        int refused = 0;
        int longWaits = 0; // requests that waited for longer than a request takes

        static auto makeEntry() -> LoadBalancer { return LoadBalancer({ .ownLocality = { "west", "west-a" } }); }
    };

    constexpr double perStep = 1.6; // 0.53 of all slots

} // namespace

TEST_CASE("an evacuation holds until it is taken back, and its data centre returns gradually")
{
    Evacuations evacuations({ .returnTime = 4s });
    CHECK_FALSE(evacuations.concernChoice(at(0ms)));
    CHECK(evacuations.returnShare("west-a", at(0ms)) == 1);
    CHECK(evacuations.begin("west-a", at(1s)));
    CHECK_FALSE(evacuations.begin("west-a", at(2s)));
    CHECK(evacuations.isEvacuated("west-a"));
    CHECK_FALSE(evacuations.isEvacuated("west-b"));
    CHECK(evacuations.age("west-a", at(4s)) == 3s);
    CHECK_FALSE(evacuations.age("west-b", at(4s)));
    CHECK(evacuations.returnShare("west-a", at(60s)) == 0);
    CHECK_FALSE(evacuations.end("west-b", at(60s)));
    CHECK(evacuations.end("west-a", at(60s)));
    CHECK_FALSE(evacuations.end("west-a", at(61s)));
    CHECK(evacuations.returnedAt("west-a") == at(60s));
    CHECK(evacuations.returnShare("west-a", at(61s)) == Approx(0.25));
    CHECK(evacuations.concernChoice(at(63s)));
    CHECK(evacuations.returnShare("west-a", at(64s)) == 1);
    CHECK_FALSE(evacuations.concernChoice(at(64s)));
}

TEST_CASE("a data centre that is evacuated again while it returns is evacuated at once and returns anew")
{
    Evacuations evacuations({ .returnTime = 4s });
    evacuations.begin("west-a", at(0s));
    evacuations.begin("west-b", at(1s));
    CHECK(evacuations.evacuated() == std::vector<std::string> { "west-a", "west-b" });
    evacuations.end("west-a", at(2s));
    CHECK(evacuations.begin("west-a", at(3s)));
    CHECK(evacuations.returnShare("west-a", at(3s)) == 0);
    CHECK_FALSE(evacuations.returnedAt("west-a"));
    CHECK(evacuations.oldestAge(at(5s)) == 4s);
    evacuations.end("west-a", at(6s));
    CHECK(evacuations.returnShare("west-a", at(7s)) == Approx(0.25));
    evacuations.end("west-b", at(7s));
    CHECK_FALSE(evacuations.oldestAge(at(8s)));
}

// Guards against requests to a data centre that nobody took back: the store came back from a copy without its row.
TEST_CASE("an evacuation that a restored store lacks stays in force until the operator had time to write it again")
{
    Evacuations evacuations({ .returnTime = 4s, .confirmationTime = 10s });
    for (const auto* dataCentre : { "west-a", "west-b", "west-c" })
        evacuations.begin(dataCentre, at(1s));
    evacuations.requireConfirmation(at(5s));
    CHECK_FALSE(evacuations.endMissing("west-a", at(6s)));
    CHECK_FALSE(evacuations.endMissing("west-b", at(6s)));
    CHECK(evacuations.isEvacuated("west-a"));
    CHECK(evacuations.returnShare("west-a", at(6s)) == 0);
    // The operator writes the second one again and takes it back; the third one's row was never missing.
    CHECK_FALSE(evacuations.begin("west-b", at(7s)));
    CHECK(evacuations.endMissing("west-b", at(8s)));
    CHECK_FALSE(evacuations.begin("west-c", at(6s)));
    CHECK(evacuations.unconfirmed(at(14s)).empty());
    CHECK(evacuations.unconfirmed(at(15s)) == std::vector<std::string> { "west-a" });
    CHECK(evacuations.age("west-a", at(15s)) == 14s);
    CHECK(evacuations.end("west-a", at(15s)));
    CHECK(evacuations.unconfirmed(at(16s)).empty());
    CHECK(evacuations.evacuated() == std::vector<std::string> { "west-c" });
}

TEST_CASE("each restore of the store gives the operator the whole time, and an unread store ends no evacuation")
{
    Evacuations evacuations({ .confirmationTime = 10s });
    evacuations.begin("west-a", at(1s));
    evacuations.requireConfirmation(at(5s));
    CHECK_FALSE(evacuations.endMissing("west-a", at(6s)));
    evacuations.requireConfirmation(at(9s));
    CHECK(evacuations.unconfirmed(at(16s)).empty());
    CHECK_FALSE(evacuations.endMissing("west-a", at(18s)));
    CHECK(evacuations.unconfirmed(at(19s)).size() == 1);
    // The rows are read only after the time, and lack it.
    evacuations.requireConfirmation(at(20s));
    CHECK(evacuations.unconfirmed(at(40s)).empty());
    CHECK(evacuations.isEvacuated("west-a"));
    CHECK(evacuations.endMissing("west-a", at(40s)));
    CHECK_FALSE(evacuations.isEvacuated("west-a"));
    // Without a restore a missing row is one that was removed.
    evacuations.begin("west-a", at(50s));
    CHECK(evacuations.endMissing("west-a", at(51s)));
}

TEST_CASE("replay: an emptied data centre gets nothing, and the others serve what they have slots for")
{
    Replay replay;
    CHECK(replay.run(at(6s), perStep)["west-a"] > 0);
    replay.evacuations.begin("west-a", replay.now);
    replay.longWaits = 0;
    const auto sent = replay.run(at(16s), perStep);
    CHECK_FALSE(sent.contains("west-a"));
    CHECK(replay.refused == 0);
    CAPTURE(replay.longWaits, sent.at("west-b"), sent.at("west-c"));
    CHECK(replay.longWaits <= sent.at("west-b") / 100);
    replay.evacuations.begin("west-b", replay.now);
    replay.evacuations.begin("west-c", replay.now);
    CHECK(replay.run(at(17s), perStep).empty());
    CHECK(replay.refused > 0);
}

TEST_CASE("replay: a returned data centre, the nearest and idle, gets its requests back gradually")
{
    Replay replay;
    replay.run(at(4s), perStep);
    replay.evacuations.begin("west-a", replay.now);
    replay.run(at(14s), perStep);
    replay.evacuations.end("west-a", replay.now);
    const auto first = replay.run(at(15s), perStep)["west-a"];
    const auto third = replay.run(at(17s), perStep)["west-a"] / 2;
    replay.run(at(22s), perStep);
    const auto later = replay.run(at(24s), perStep)["west-a"] / 2;
    CAPTURE(first, third, later);
    CHECK(first > 0);
    CHECK(first <= later / 3); // on average an eighth of the requests may prefer it
    CHECK(third > first);
    CHECK(later > third);
    CHECK(replay.refused == 0);
}

TEST_CASE("replay: a returned data centre is used at once where it is the only one, and where all others are full")
{
    Replay replay;
    replay.evacuations.begin("west-a", replay.now);
    replay.run(at(3s), perStep);
    replay.evacuations.end("west-a", replay.now);
    replay.evacuations.begin("west-b", replay.now);
    replay.evacuations.begin("west-c", replay.now);
    CHECK(replay.run(at(4s), 0.5)["west-a"] == 50);
    Replay crowded;
    crowded.evacuations.begin("west-a", crowded.now);
    crowded.run(at(3s), 2.5); // more than the two others have slots for
    crowded.evacuations.end("west-a", crowded.now);
    CHECK(crowded.run(at(4s), 2.5)["west-a"] >= 50);
}

} // namespace coriandergate::dispatch
