// Checks the fleet's promises from what callers sent and got and what instances ran.
//
//   Checker checker({});
//   checker.sent({ .id = "r-1", .path = "/book/1", ... }, now);
//   checker.ran("i-0", request, now);
//   checker.answered("r-1", 200, "ran /book/1", true, now);
//   for (const auto& violation : checker.finish()) report(violation);
//
// Safe from any thread.
#pragma once

#include "base/Clock.h"
#include "base/Mutex.h"
#include "testing/RepeatBound.h"

#include <chrono>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace coriandergate::soak {

class Checker {
public:
    struct Options {
        std::chrono::milliseconds drain { 2500 }; // after it a leaving instance runs nothing new
        std::chrono::milliseconds revocation { 5000 }; // after it a withdrawn key runs nothing new
        std::chrono::milliseconds calm { 3000 }; // so long before a request nothing unplanned may have happened
        std::chrono::milliseconds regressSlack { 2000 }; // requests of an older configuration may still run within it
        std::chrono::milliseconds configuration { 2500 }; // after it a confirmed configuration is in force
        testing::RepeatBound repeats; // that instances may see, beyond the first run of each request
        std::chrono::milliseconds rateWindow { 5000 };
        double rateLimit = 0; // runs of the limited account in a window; 0: not checked
        std::string limitedAccount;
    };

    // Sent is a request as its caller sent it.
    struct Sent {
        std::string id;
        std::string method;
        std::string path;
        std::string body;
        std::string key;
        std::string account; // that the instance must be told; empty for an open route
        std::size_t host = 0; // whose daemon it was sent to
        bool isRepeatable = false;
        std::uint64_t generation = 0; // the only configuration that has its route; 0: all have it
    };

    // Run is a request as an instance saw it.
    struct Run {
        std::string id;
        std::string method;
        std::string path;
        std::string body;
        std::string account;
        bool hasKey = false;
    };

    explicit Checker(const Options& options)
        : m_options(options)
    {
    }

    auto sent(const Sent& request, MonotonicTime now) -> void;
    auto ran(const std::string& instance, const Run& run, MonotonicTime now) -> void;
    auto answered(const std::string& id, int status, const std::string& body, bool isSigned, MonotonicTime now) -> void;

    // cut() says that the connection ended without an answer.
    auto cut(const std::string& id, MonotonicTime now) -> void;

    // notRead() says that the caller may conclude from the protocol that the daemon did not read the request, and sends
    // it again whatever its kind.
    auto notRead(const std::string& id) -> void;

    // unasked() says that `bytes` which are no answer to any request came on a connection of the caller `name`.
    auto unasked(const std::string& name, const std::string& bytes) -> void;

    auto leaveConfirmed(const std::string& instance, MonotonicTime now) -> void;
    auto keyWithdrawn(const std::string& key, MonotonicTime now) -> void;
    auto configurationConfirmed(std::uint64_t generation, MonotonicTime now) -> void;
    auto daemonStarted(std::size_t host, MonotonicTime now) -> void;

    // endCaused() says that `signal` is sent to a host's daemon now. daemonEnded() says that the daemon has ended with
    // `code` (testing::ProcessUnderTest::waitForExit), which is a violation when no such signal explains it. It may be
    // called again; only the first call since the daemon's start counts. The result is false when it finds a violation.
    enum class EndSignal { Terminate, Kill };
    auto endCaused(std::size_t host, EndSignal signal) -> void;
    auto daemonEnded(std::size_t host, int code) -> bool;

    // stopBegan() and stopEnded() bound a planned stop of a host's daemon; disturbed() notes an unplanned fault.
    auto stopBegan(std::size_t host, MonotonicTime now) -> void;
    auto stopEnded(std::size_t host) -> void;
    auto disturbed(MonotonicTime from, MonotonicTime to) -> void;

    // finish() adds what can only be told at the end, and is every violation in the order found.
    [[nodiscard]] auto finish() -> std::vector<std::string>;

    struct Counts {
        std::size_t sent = 0;
        std::size_t served = 0;
        std::size_t refused = 0; // with the promise that they haven't run
        std::size_t failed = 0;
        std::size_t cut = 0;
        std::size_t notRead = 0;
        std::size_t runs = 0;
    };
    [[nodiscard]] auto counts() const -> Counts;

private:
    struct Request {
        Sent sent;
        MonotonicTime sentAt;
        std::size_t runs = 0;
        int status = 0;
        bool isAnswered = false;
        bool wasNotRead = false;
    };
    struct Served {
        std::uint64_t generation = 0;
        MonotonicTime at;
    };
    // Life is what is known of the end of a host's daemon since its start.
    struct Life {
        std::set<EndSignal> signals;
        bool hasEnded = false;
        MonotonicTime startedAt;
    };

    REQUIRES(m_mutex)
    auto checkRunLocked(const std::string& instance, const Request& request, const Run& run, MonotonicTime now) -> void;
    // isDisturbedLocked() returns whether something unplanned happened from a while before the request was sent.
    [[nodiscard]] REQUIRES(m_mutex) auto isDisturbedLocked(const Request& request, MonotonicTime now) const -> bool;
    // isCalmLocked() returns whether nothing happened to the request's daemon, and nothing unplanned at all, from a
    // while before it was sent.
    [[nodiscard]] REQUIRES(m_mutex) auto isCalmLocked(const Request& request, MonotonicTime now) const -> bool;
    [[nodiscard]] REQUIRES(m_mutex) auto isConfigurationDueLocked(const Request& request, MonotonicTime now) const
        -> bool;
    REQUIRES(m_mutex) auto checkRateLocked(MonotonicTime now) -> void;
    REQUIRES(m_mutex) auto checkRepeatsLocked() -> void;
    REQUIRES(m_mutex) auto violateLocked(const std::string& promise, const std::string& what) -> void;

    const Options m_options;
    mutable Mutex m_mutex;
    std::map<std::string, Request> m_requests GUARDED_BY(m_mutex);
    std::map<std::string, MonotonicTime> m_leaving GUARDED_BY(m_mutex);
    std::map<std::string, MonotonicTime> m_withdrawn GUARDED_BY(m_mutex);
    std::map<std::size_t, Served> m_served GUARDED_BY(m_mutex); // newest configuration seen, by host
    Served m_confirmed GUARDED_BY(m_mutex); // newest configuration that the store acknowledged
    std::vector<MonotonicTime> m_repeats GUARDED_BY(m_mutex); // runs beyond the first of a request
    std::map<std::size_t, Life> m_lives GUARDED_BY(m_mutex); // by host
    std::map<std::size_t, MonotonicTime> m_stopping GUARDED_BY(m_mutex);
    std::vector<std::pair<MonotonicTime, MonotonicTime>> m_disturbances GUARDED_BY(m_mutex);
    std::deque<std::pair<MonotonicTime, MonotonicTime>> m_limitedRuns GUARDED_BY(m_mutex); // run, sent
    std::vector<std::string> m_violations GUARDED_BY(m_mutex);
    Counts m_counts GUARDED_BY(m_mutex);
};

} // namespace coriandergate::soak
