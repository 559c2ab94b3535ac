// One request of a caller, from its last byte to its response.
//
// Authenticates the request, checks its rate limit, reserves a slot at a target, forwards the request there and retries
// on other targets as far as its route, its deadline and the retry budget allow.
//
//   EntryRequest::start(context, exchange);
#pragma once

#include "dispatch/AccountRateLimiter.h"
#include "dispatch/TargetSearch.h"
#include "relay/CrashGuard.h"
#include "relay/EntryContext.h"
#include "relay/HedgedAttempt.h"
#include "relay/RequestAdmission.h"
#include "relay/TargetAttempt.h"
#include "relay/TargetChoice.h"

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace coriandergate::http {
class Exchange;
}

namespace coriandergate::relay {

class CrashReporter;
class RetryBorrower;
class RateLimitCheck;

// EntryRequest keeps itself alive until it has responded or the caller disconnects.
class EntryRequest : public std::enable_shared_from_this<EntryRequest> {
public:
    // start() handles a complete request and responds exactly once, possibly before it returns. After `context` is
    // destroyed the request does nothing any more.
    static auto start(EntryContext& context, std::shared_ptr<http::Exchange> exchange) -> void;

    EntryRequest(EntryContext& context, std::shared_ptr<http::Exchange> exchange);
    ~EntryRequest();
    EntryRequest(const EntryRequest&) = delete;
    auto operator=(const EntryRequest&) -> EntryRequest& = delete;

    // begin() starts processing. It is called once configuration and hosts are known, or when the wait for them is
    // over.
    auto begin() -> void;

    // capDeadline() moves the deadline to `time` if that is earlier; used before the daemon stops.
    auto capDeadline(MonotonicTime time) -> void;

    // cancel() ends the request without a response, and releases what it holds of its context.
    auto cancel() -> void;

private:
    auto waitUntilReady(MonotonicTime until) -> void;
    auto checkRateLimit() -> void;
    auto onRateLimitDecision(const dispatch::AccountRateLimiter::Decision& decision) -> void;
    auto onRateLimitPassed() -> void;
    auto armDeadlineTimer() -> void;
    auto prepareForwarding() -> void;
    auto tryNextTarget() -> void;
    auto reserveSlot(dispatch::LoadBalancer::TargetPointer target) -> void;
    auto onSlotResult(const TargetAttempt::SlotResult& result) -> void;
    auto onSlotRefused(const TargetAttempt::SlotRefused& refusal) -> void;
    auto onSlotUnreachable(const TargetAttempt::PathFailed& failed) -> void;
    auto tryElsewhere() -> void;
    auto startAttempt() -> void;
    auto borrowRetry() -> void;
    auto onRetryBudgetExhausted() -> void;
    auto onCrash(const std::string& target) -> void;
    auto onCrashesCounted(std::optional<std::size_t> crashes) -> void;
    auto stopTrying(std::string_view why) -> void;
    [[nodiscard]] auto makeRunRequest(MonotonicTime now) const -> RunRequest;
    auto sendRequest() -> void;
    auto armHedgeTimer() -> void;
    [[nodiscard]] auto mayHedge(MonotonicTime now) const -> bool;
    auto startHedge() -> void;
    // makeHedgeRequest() charges the second attempt to its budgets; nothing if it must not be sent any more.
    [[nodiscard]] auto makeHedgeRequest() -> std::optional<RunRequest>;
    auto onHedgeEnded(TargetAttempt::RunResult result) -> void;
    auto recordHedgeFailure(TargetAttempt::RunResult result, const dispatch::LoadBalancer::Description& target) -> void;
    auto undoAttempt() -> void;
    auto onRunResult(TargetAttempt::RunResult result) -> void;
    auto onRunEnded(TargetAttempt::Ended ended) -> void;
    auto onRunPathFailed() -> void;
    auto onTargetResponse(http::Answer response) -> void;
    auto retryOrFinish(http::Answer lastResponse, std::string_view why) -> void;
    auto endAttempt() -> void;
    auto waitOrFinish() -> void;
    auto onDeadline() -> void;
    auto onCallerDisconnected() -> void;
    auto refuse(const RequestRefusal& refusal) -> void;
    auto fail(int status, std::string_view why) -> void;
    auto finish(http::Answer response, std::string_view why) -> void;
    [[nodiscard]] auto targetLatencyLeft(MonotonicTime now) const -> std::chrono::milliseconds;
    [[nodiscard]] auto latency(MonotonicTime now) const -> std::chrono::milliseconds;

    EntryContext& m_context;
    std::shared_ptr<EntryContext::OpenRequests> m_openRequests; // may outlive m_context
    std::shared_ptr<http::Exchange> m_exchange;
    AdmittedRequest m_admitted;
    std::string m_requestId;
    std::string m_service;
    int m_priority = 0;
    MonotonicTime m_receivedAt;
    boost::asio::steady_timer m_deadlineTimer;
    boost::asio::steady_timer m_waitTimer; // for the configuration, between searches, and before a second attempt
    dispatch::TargetSearch m_search;
    TargetChoice m_choice;
    CrashGuard m_crashGuard;
    std::unique_ptr<TargetAttempt> m_attempt; // under way
    MonotonicTime m_attemptStartedAt; // when the request was sent to the target of m_attempt
    std::unique_ptr<HedgedAttempt> m_hedge; // second attempt beside m_attempt
    std::optional<TargetAttempt::RunResult> m_firstResult; // failure of m_attempt while m_hedge runs
    std::shared_ptr<RateLimitCheck> m_rateLimitCheck; // set once the owners of the rate limit are asked
    std::shared_ptr<RetryBorrower> m_retryBorrower; // set once other hosts are asked to lend a retry
    std::size_t m_attempts = 0; // sent, except those that certainly did not reach a target
    bool m_hasUnusedRetry = false; // charged to the retry budget, but its attempt did not reach a target
    bool m_mayHaveRun = false; // a target may have executed the request
    std::optional<http::Answer> m_lastErrorResponse; // the last 5xx that a target itself sent
    std::shared_ptr<CrashReporter> m_crashReporter; // set while the crashes of the request are asked for
    bool m_hasBegun = false;
    bool m_isDone = false;
};

} // namespace coriandergate::relay
