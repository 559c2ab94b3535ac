// One request of a caller, from its last byte to its response.
//
// Authenticates the request, checks its rate limit, reserves a slot at a target, forwards the request there and retries
// on other targets as far as its route, its deadline and the retry budget allow.
//
//   EntryRequest::start(context, exchange);
#pragma once

#include "config/ClientAccount.h"
#include "config/Route.h"
#include "dispatch/AccountRateLimiter.h"
#include "http/Request.h"
#include "net/HttpClient.h"
#include "relay/EntryContext.h"
#include "relay/PeerMessages.h"

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

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
    // Stage tells how long the request waits for a slot at each target that it tries.
    enum class Stage {
        NoWait, // only free slots
        WithinTargetLatency, // as long as the target latency can still be met
        BeforeDeadline, // for a fraction of the time to the deadline
        Exhausted, // no further target is tried
    };

    auto waitUntilReady(MonotonicTime until) -> void;
    [[nodiscard]] auto authenticate() -> bool;
    auto checkRateLimit() -> void;
    auto onRateLimitDecision(const dispatch::AccountRateLimiter::Decision& decision) -> void;
    auto onRateLimitPassed() -> void;
    auto readDeadline() -> void;
    auto armDeadlineTimer() -> void;
    auto prepareForwarding() -> void;
    auto tryNextTarget() -> void;
    [[nodiscard]] auto chooseTarget() -> dispatch::LoadBalancer::TargetPointer;
    auto advanceStage() -> void;
    auto reserveSlot() -> void;
    [[nodiscard]] auto maximumSlotWait(MonotonicTime now) const -> std::chrono::milliseconds;
    auto onSlotResponse(net::HttpClient::Result result) -> void;
    auto onSlotRefused(const http::Answer& response) -> void;
    auto startAttempt() -> void;
    [[nodiscard]] auto isKeyRevoked() const -> bool;
    [[nodiscard]] auto isTooLateBeforeShutdown(MonotonicTime now) const -> bool;
    auto borrowRetry() -> void;
    auto onRetryBudgetExhausted() -> void;
    auto onCrash(const std::string& target) -> void;
    auto onCrashesCounted(std::optional<std::size_t> crashes) -> void;
    auto stopTrying(std::string_view why) -> void;
    auto recordSuccess() -> void;
    [[nodiscard]] auto fingerprint() const -> std::uint64_t;
    [[nodiscard]] auto crashesTargets() const -> bool;
    auto sendRequest() -> void;
    auto undoAttempt() -> void;
    auto onRunResult(net::HttpClient::Result result) -> void;
    auto onTargetResponse(http::Answer response) -> void;
    auto retryOrFinish(http::Answer lastResponse, std::string_view why) -> void;
    auto applyLoadReport(const http::Answer& response) -> void;
    auto endAttempt() -> void;
    auto waitOrFinish() -> void;
    auto recordRejection() -> void;
    [[nodiscard]] auto outcomeOf(const http::Answer& response) const -> RunOutcome;
    [[nodiscard]] auto isRejectedByAllTargets() const -> bool;
    auto onDeadline() -> void;
    auto onCallerDisconnected() -> void;
    auto refuse(int status, std::string_view why, std::optional<std::chrono::milliseconds> retryAfter) -> void;
    auto fail(int status, std::string_view why) -> void;
    auto finish(http::Answer response, std::string_view why) -> void;
    [[nodiscard]] auto timeLeft(MonotonicTime now) const -> std::chrono::milliseconds;
    [[nodiscard]] auto targetLatencyLeft(MonotonicTime now) const -> std::chrono::milliseconds;
    [[nodiscard]] auto isIdempotent() const -> bool;
    [[nodiscard]] auto retryClass() const -> dispatch::RetryBudget::RetryClass;
    [[nodiscard]] auto isCallFromTarget() const -> bool;
    [[nodiscard]] auto distanceFactor() const -> double;
    auto recordResponseSize(const http::Answer& response) -> void;
    [[nodiscard]] auto overloadRetryAfter() -> std::chrono::milliseconds;

    EntryContext& m_context;
    std::shared_ptr<EntryContext::OpenRequests> m_openRequests; // may outlive m_context
    std::shared_ptr<http::Exchange> m_exchange;
    std::shared_ptr<const PolicySnapshot> m_snapshot;
    const config::Route* m_route = nullptr;
    std::string m_key;
    const config::ClientAccount* m_clientAccount = nullptr; // owned by m_snapshot; null when no key was checked
    std::string m_requestId;
    std::string m_service;
    int m_priority = 0;
    MonotonicTime m_receivedAt;
    MonotonicTime m_deadline;
    boost::asio::steady_timer m_deadlineTimer;
    boost::asio::steady_timer m_waitTimer;
    Stage m_stage = Stage::NoWait;
    std::size_t m_triesInStage = 0;
    std::size_t m_slotRefusals = 0;
    std::vector<std::string> m_excludedTargets; // addresses of targets to skip
    // Targets that rejected the request. A target may send its rejection again while it executes the same request, and
    // the two responses bear the same id, so a target that rejected a request never gets it again, also if its daemon
    // has another address by then.
    std::vector<std::string> m_rejectingAddresses;
    std::vector<std::string> m_rejectingIds; // of the targets, and the keys of their hosts
    dispatch::LoadBalancer::TargetPointer m_target;
    dispatch::LoadBalancer::Description m_askedTarget; // m_target as it was announced when its slot was reserved
    net::HttpClient::Call m_call = 0;
    std::shared_ptr<RateLimitCheck> m_rateLimitCheck; // set once the owners of the rate limit are asked
    std::shared_ptr<RetryBorrower> m_retryBorrower; // set once other hosts are asked to lend a retry
    std::size_t m_attempts = 0; // sent, except those that certainly did not reach a target
    bool m_hasUnusedRetry = false; // charged to the retry budget, but its attempt did not reach a target
    bool m_mayHaveRun = false; // a target may have executed the request
    std::optional<http::Answer> m_lastErrorResponse; // the last 5xx that a target itself sent
    std::shared_ptr<CrashReporter> m_crashReporter; // set while the crashes of the request are asked for
    std::string_view m_stopReason; // why no further target is tried, if there is a reason
    bool m_hasBegun = false;
    bool m_isDone = false;
};

} // namespace coriandergate::relay
