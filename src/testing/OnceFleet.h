// A seeded loop over the real once-only decision objects: daemons that die, restart and pause, messages that are
// delayed, dropped, repeated and reordered, and callers that send again through other daemons.
#pragma once

#include "once/AttemptTable.h"
#include "once/IdempotencyTable.h"
#include "once/WitnessTable.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <vector>

namespace coriandergate::testing {

class OnceFleet {
public:
    struct Options {
        std::uint64_t seed = 1;
        unsigned daemons = 9;
        unsigned dataCentres = 3;
        std::chrono::seconds length { 600 };
        std::chrono::seconds retention { 120 };
        std::chrono::milliseconds requestEvery { 50 };
        double resendShare = 0.5;
        double dropShare = 0.05;
        double repeatShare = 0.05;
        std::chrono::milliseconds lossEvery { 40'000 }; // mean; zero: none
        std::chrono::milliseconds pauseEvery { 20'000 }; // mean; zero: none
        bool isNaive = false; // a ledger in each entry daemon's memory
    };

    struct Result {
        unsigned sent = 0;
        unsigned keys = 0;
        unsigned ranKeys = 0;
        unsigned doubleRuns = 0;
        unsigned knownAnswers = 0; // resends answered with the kept answer
        unsigned unknownAnswers = 0;
        unsigned unknownOfNewKeys = 0; // of them, for keys that no target ever saw
        unsigned refused = 0;
        unsigned seatMoves = 0;
        unsigned losses = 0;
    };

    explicit OnceFleet(Options options);
    ~OnceFleet();
    auto run() -> Result;

private:
    struct Daemon;
    struct Seat;
    struct Event;
    using Step = std::function<void()>;

    auto chance(double share) -> bool;
    auto between(int least, int most) -> std::chrono::milliseconds;
    auto at(MonotonicTime when, unsigned daemon, Step step) -> void; // runs when `daemon` is up and not paused
    auto send(unsigned to, const Step& step) -> void;
    auto restart(unsigned daemon) -> void;
    auto lose(unsigned daemon) -> void;
    auto tick() -> void;
    auto keepSeats() -> void;
    auto moveSeat(unsigned seat) -> void;
    auto askForReports(unsigned seat) -> void;
    auto members() const -> std::vector<once::SeatRebuild::Member>;
    auto request() -> void;
    auto enter(unsigned entry, once::IdempotencyKey key) -> void;
    auto own(unsigned owner, once::AttemptId attempt, once::IdempotencyKey key) -> void;
    auto askPermit(unsigned owner, once::AttemptId attempt, once::IdempotencyKey key) -> void;
    auto decide(unsigned owner, once::AttemptId attempt, once::IdempotencyKey key, const once::PermitResponse& answer,
        MonotonicTime askedAt) -> void;
    auto becomeReady(unsigned owner, unsigned part, once::AttemptId attempt, once::IdempotencyKey key) -> void;
    auto runAtTarget(unsigned owner, once::AttemptId attempt, once::IdempotencyKey key) -> void;
    auto reportOutcomes(unsigned owner) -> void;
    auto count(const once::PermitResponse& answer, once::IdempotencyKey key) -> void;

    Options m_options;
    Result m_result;
    std::mt19937_64 m_random;
    MonotonicTime m_now {};
    std::uint64_t m_sequence = 0;
    std::vector<std::unique_ptr<Daemon>> m_daemons;
    std::vector<Seat> m_seats;
    std::vector<once::LostDaemon> m_lost;
    std::vector<std::pair<once::IdempotencyKey, MonotonicTime>> m_keys;
    std::map<once::IdempotencyKey, unsigned> m_runs;
    std::map<std::pair<MonotonicTime, std::uint64_t>, Event> m_events;
};

} // namespace coriandergate::testing
