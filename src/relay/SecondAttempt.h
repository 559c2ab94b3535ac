// The step of a request that sends a second attempt beside a first one that runs for long: when, whether and where.
//
// The first success of the two counts. A failure of the first attempt waits for the second one, and a failure of the
// second leaves the first one to decide.
//
//   m_second = std::make_shared<SecondAttempt>(request, callbacks);
//   m_second->arm(*m_attempt, now); // when the first attempt was sent
//   if (m_second->defer(result)) return; // the first attempt failed while the second one runs
#pragma once

#include "base/Clock.h"
#include "relay/HedgedAttempt.h"
#include "relay/TargetAttempt.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>

namespace coriandergate::relay {

struct CallerRequest;

// SecondAttempt runs on the thread of the request's context, which outlives it.
class SecondAttempt : public std::enable_shared_from_this<SecondAttempt> {
public:
    struct Callbacks {
        // onWon() receives the second attempt's success; the first one is to be given up.
        std::function<void(http::Answer response)> onWon;
        // onFirstFailed() receives the failure of the first attempt that defer() kept, after the second one failed too.
        std::function<void(TargetAttempt::RunResult result)> onFirstFailed;
    };

    SecondAttempt(std::shared_ptr<CallerRequest> request, Callbacks callbacks);

    // arm() starts the wait for `first`, which was sent at `startedAt` and exists until cancel(). Nothing happens if
    // the request gets no second attempt.
    auto arm(const TargetAttempt& first, MonotonicTime startedAt) -> void;

    // defer() takes `result` and returns true if it is a failure of the first attempt while the second one runs.
    [[nodiscard]] auto defer(TargetAttempt::RunResult& result) -> bool;

    // cancel() gives up the second attempt, sent or not. No callback is called afterwards.
    auto cancel() -> void;

private:
    [[nodiscard]] auto isAllowed(MonotonicTime now) const -> bool;
    auto start() -> void;
    // makeRun() charges the second attempt to its budgets; nothing if it must not be sent any more.
    [[nodiscard]] auto makeRun() -> std::optional<RunRequest>;
    auto onEnded(TargetAttempt::RunResult result) -> void;
    auto recordFailure(TargetAttempt::RunResult result, const dispatch::LoadBalancer::Description& target) -> void;

    std::shared_ptr<CallerRequest> m_request;
    Callbacks m_callbacks;
    boost::asio::steady_timer m_timer;
    const TargetAttempt* m_first = nullptr; // null while there is no first attempt to stand beside
    MonotonicTime m_firstStartedAt;
    std::unique_ptr<HedgedAttempt> m_attempt;
    std::optional<TargetAttempt::RunResult> m_firstResult; // failure of the first attempt while m_attempt runs
};

} // namespace coriandergate::relay
