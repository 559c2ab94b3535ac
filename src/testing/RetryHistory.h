// Plays a drawn history of a fleet whose targets fail, and counts the repeated arrivals at each service.
//
// The hosts decide with the real RetryBudget and CallRatio, each of which sees only its own host. Targets of "orders"
// call "stock" while they run; a call of a run that was itself repeated counts as a repeat. Daemons are restarted,
// hosts join and leave, and the load moves and falls, as Options say.
//
//   RetryHistory history({ .hosts = 28, .seed = 7, .hasRestarts = true });
//   history.play();
//   CHECK(history.worstExcess() <= 0);
#pragma once

#include "base/Clock.h"
#include "dispatch/CallRatio.h"
#include "dispatch/RetryBudget.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace coriandergate::testing {

// RetryHistory is used on one thread; a run depends on its options only.
class RetryHistory {
public:
    struct Options {
        std::size_t hosts = 28;
        std::uint32_t seed = 1;
        std::chrono::milliseconds length { 40000 };
        double requestsPerHost = 6; // per second
        bool hasRestarts = false; // of single daemons in turn, and of all at once
        bool hasJoins = false; // hosts join and leave
        bool hasChangingLoad = false; // it moves between hosts, rises and falls
        bool hasCalls = false; // targets of "orders" call "stock"
        bool hasSlowPaths = false; // some repeats arrive a second after they were charged
        dispatch::RetryBudget::Options budget {
            .retriesPerRequest = 0.2, .retriesPerWindow = 56, .window = std::chrono::seconds(10)
        };
    };

    explicit RetryHistory(const Options& options);

    auto play() -> void;

    // worstExcess() is by how many repeats the worst window of any service exceeds what is allowed (RepeatBound);
    // negative if none does.
    [[nodiscard]] auto worstExcess() const -> double;

    [[nodiscard]] auto repeats() const -> std::size_t { return m_repeatCount; }
    [[nodiscard]] auto denied() const -> std::size_t { return m_denied; }

private:
    struct Host {
        dispatch::RetryBudget budget;
        dispatch::CallRatio callRatio;
        std::map<std::string, dispatch::RetryBudget::CallsPerRequest> callsPerRequest;
        std::uint64_t process = 0; // rises with each restart
        double load = 1; // relative to the others
        bool isUp = true;
    };

    struct Event {
        MonotonicTime at;
        std::uint64_t order = 0;
        std::function<void()> action;
        friend auto operator>(const Event& left, const Event& right) -> bool
        {
            return left.at != right.at ? left.at > right.at : left.order > right.order;
        }
    };

    // Attempt is one sending of a request by the daemon of `entry`.
    struct Attempt {
        std::string service;
        std::size_t entry = 0;
        std::uint64_t process = 0; // of the entry
        int number = 1;
        bool isOfRepeatedRun = false; // a call that a repeated run makes
    };

    auto schedule(std::chrono::milliseconds delay, std::function<void()> action) -> void;
    [[nodiscard]] auto chance(double probability) -> bool;
    [[nodiscard]] auto drawTime(std::chrono::milliseconds shortest, std::chrono::milliseconds longest)
        -> std::chrono::milliseconds;
    [[nodiscard]] auto drawHost() -> std::size_t;
    [[nodiscard]] auto upHosts() const -> std::size_t;
    auto start(std::size_t host) -> void;
    auto planFailures() -> void;
    auto planRestarts() -> void;
    auto planJoins() -> void;
    auto planLoad() -> void;
    auto generateRequest() -> void;
    auto send(const std::string& service, std::size_t entry, bool isOfRepeatedRun) -> void;
    auto arrive(const Attempt& attempt, std::size_t target) -> void;
    auto makeCalls(std::size_t target, bool isRepeated) -> void;
    auto retry(const Attempt& attempt) -> void;
    [[nodiscard]] auto acquire(const Attempt& attempt) -> bool;

    Options m_options;
    std::mt19937_64 m_random;
    MonotonicTime m_now;
    std::uint64_t m_order = 0;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::vector<Host> m_hosts;
    double m_totalLoad = 1; // relative to the configured load
    std::map<std::string, double> m_failureRate; // by service
    std::map<std::string, std::vector<MonotonicTime>> m_requests; // by service
    std::map<std::string, std::vector<MonotonicTime>> m_repeats; // by service
    std::size_t m_repeatCount = 0;
    std::size_t m_denied = 0;
};

} // namespace coriandergate::testing
