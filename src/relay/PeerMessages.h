// Messages between an entry and its peers, encoded as CBOR in HTTP bodies.
//
// An entry is the daemon that accepted a caller's request; a peer is the daemon on the host of a target. A request is
// forwarded in two steps on one connection: the entry reserves a slot, and the peer responds once a slot is free or
// refuses; then the entry sends the request itself. Until that second step the target can't have seen the request, so
// after a connection failure in the first step it is always safe to try another target.
//
//   client.send(peer, encodeReserveRequest({ .requestId = id, .service = "orders" }), options, callback);
#pragma once

#include "dispatch/RetryBudget.h"
#include "dispatch/TargetArrivals.h"
#include "dispatch/TargetLoad.h"
#include "http/Request.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace coriandergate {
struct Error;
}

namespace coriandergate::relay {

inline constexpr std::string_view reservePath = "/reserve";
inline constexpr std::string_view runPath = "/run";
inline constexpr std::string_view rateLimitPath = "/rate";
inline constexpr std::string_view borrowPath = "/attempt";
inline constexpr std::string_view crashPath = "/crash";
// On every response to a RunRequest: how the attempt ended at the target.
inline constexpr std::string_view outcomeHeader = "Coriandergate-Outcome";
// On every response: running requests, waiting requests, slots, percentage of requests rejected and, for a failing
// target, the milliseconds until its next probe.
inline constexpr std::string_view loadHeader = "Coriandergate-Load";
// On every response where the arrivals at the target are limited: "limit,used". It is a header of its own because
// daemons that don't know it would take a further number in loadHeader for the time of a probe.
inline constexpr std::string_view arrivalsHeader = "Coriandergate-Arrivals";
// On a granted slot for an idempotent request: the mean number of calls to other services that a request makes, as
// "service=number,..." or "none"; missing while it isn't known.
inline constexpr std::string_view callsHeader = "Coriandergate-Calls";

// Bodies of refusals that the entry tells apart from others.
inline constexpr std::string_view noSlotInTime = "no slot in time";
inline constexpr std::string_view targetIsFailing = "target fails";

// RunOutcome tells how an attempt ended, and so whether the request may have been executed.
enum class RunOutcome {
    Answered, // the target sent a complete response
    NotSent, // the request was never sent to the target
    NotRun, // the target rejected the request without executing it
    MayHaveRun, // no complete response; the target may have executed it
    ConnectionLost, // the same, because the target ended the connection; it may have crashed
};

// ReserveRequest asks for a slot at a target.
struct ReserveRequest {
    std::string requestId; // for log events
    std::string service;
    int priority = 0;
    bool isIdempotent = false;
    std::chrono::milliseconds targetLatencyLeft { 0 }; // until the route's target latency is exceeded
    std::chrono::milliseconds maximumWait { 0 }; // for a slot
    bool acceptsFailingTarget = false; // most targets are failing, so a failing one is better than none
    bool isPastTargetLatency = false; // can't meet the target latency; queued behind the requests that can
    // Whose turn it is within a priority; empty for calls of targets, and where the order is by deadline alone.
    std::string clientAccount;
    double accountWeight = 1; // relative to other accounts
};

// RunRequest carries the request to execute in the reserved slot.
struct RunRequest {
    http::Request request;
    std::string requestId;
    std::string callerService;
    std::string clientAccount; // empty for an open route
    bool isIdempotent = false;
    std::chrono::milliseconds timeLeft { 0 }; // until the deadline
    std::chrono::milliseconds targetLatencyLeft { 0 };
    std::optional<std::chrono::milliseconds> expiresAt; // deadline on the store's clock, which both daemons know
    std::uint64_t configurationVersion = 0; // by which the entry chose the target; 0 if it is of an earlier release
};

// RateLimitRequest asks an owner of the account's rate limit to grant one request.
struct RateLimitRequest {
    std::string clientAccount;
};

// BorrowRequest asks another host to lend one retry from its share of the fleet's retry budget.
struct BorrowRequest {
    std::string service;
    dispatch::RetryBudget::CallsPerRequest calls; // to other services, caused by the retry

    friend auto operator==(const BorrowRequest&, const BorrowRequest&) -> bool = default;
};

// CrashReport tells another host how an attempt ended that may have crashed its target, or that succeeded although the
// request was thought to crash targets. The response's body is the number of crashes that the other host knows of.
struct CrashReport {
    std::uint64_t fingerprint = 0; // of the request
    std::string target; // address of the daemon beside the target
    bool hasSucceeded = false;

    friend auto operator==(const CrashReport&, const CrashReport&) -> bool = default;
};

// TargetLoadReport is the state of a target as its host's daemon reports it.
struct TargetLoadReport {
    dispatch::TargetLoad load;
    double rejectionRate = 0; // moving average of the fraction of requests that the target rejected
    std::optional<std::chrono::milliseconds> nextProbeIn; // set while the target is failing
    std::optional<dispatch::TargetArrivals> arrivals; // set where arrivals are limited; travels in arrivalsHeader
};

// The encoders return complete HTTP requests. Thread-safe.
[[nodiscard]] auto encodeReserveRequest(const ReserveRequest& message) -> std::string;
[[nodiscard]] auto encodeRunRequest(const RunRequest& message) -> std::string;
[[nodiscard]] auto encodeRateLimitRequest(const RateLimitRequest& message) -> std::string;
[[nodiscard]] auto encodeBorrowRequest(const BorrowRequest& message) -> std::string;
[[nodiscard]] auto encodeCrashReport(const CrashReport& message) -> std::string;

// The decoders parse the body of such a request; nullopt with a reason when it is malformed. Thread-safe.
[[nodiscard]] auto decodeReserveRequest(const std::string& body, Error& reason) -> std::optional<ReserveRequest>;
[[nodiscard]] auto decodeRunRequest(const std::string& body, Error& reason) -> std::optional<RunRequest>;
[[nodiscard]] auto decodeRateLimitRequest(const std::string& body, Error& reason) -> std::optional<RateLimitRequest>;
[[nodiscard]] auto decodeBorrowRequest(const std::string& body, Error& reason) -> std::optional<BorrowRequest>;
[[nodiscard]] auto decodeCrashReport(const std::string& body, Error& reason) -> std::optional<CrashReport>;

// encodeRetryAfter() returns the body of a rate limit refusal: the milliseconds until the owner can grant the account's
// next request. decodeRetryAfter() parses it; nullopt when it is malformed.
[[nodiscard]] auto encodeRetryAfter(std::chrono::milliseconds retryAfter) -> std::string;
[[nodiscard]] auto decodeRetryAfter(std::string_view text) -> std::optional<std::chrono::milliseconds>;

// encodeCrashes() returns the body of the response to a CrashReport; decodeCrashes() returns nullopt when it is
// malformed.
[[nodiscard]] auto encodeCrashes(std::size_t crashes) -> std::string;
[[nodiscard]] auto decodeCrashes(std::string_view text) -> std::optional<std::size_t>;

// isTakenForNotRun() says that callers take `status` for the statement that a request was not executed and never will
// be. A target states that only by its header, or by a 421.
[[nodiscard]] auto isTakenForNotRun(int status) -> bool;

// outcomeName() returns the value of `outcomeHeader`; parseOutcome() is its inverse, nullopt for an unknown name.
[[nodiscard]] auto outcomeName(RunOutcome outcome) -> std::string_view;
[[nodiscard]] auto parseOutcome(std::string_view name) -> std::optional<RunOutcome>;

// unreadRequestHeaders() are the headers of a response to a RunRequest that the peer's server didn't read to its end.
[[nodiscard]] auto unreadRequestHeaders() -> http::HeaderList;

// encodeLoadReport() returns the value of `loadHeader`; decodeLoadReport() returns nullopt when it is malformed.
[[nodiscard]] auto encodeLoadReport(const TargetLoadReport& report) -> std::string;
[[nodiscard]] auto decodeLoadReport(std::string_view text) -> std::optional<TargetLoadReport>;

// encodeArrivals() returns the value of `arrivalsHeader`; decodeArrivals() returns nullopt when it is malformed.
[[nodiscard]] auto encodeArrivals(const dispatch::TargetArrivals& arrivals) -> std::string;
[[nodiscard]] auto decodeArrivals(std::string_view text) -> std::optional<dispatch::TargetArrivals>;

// encodeCallsPerRequest() returns the value of `callsHeader`; decodeCallsPerRequest() skips "none" and malformed
// entries.
[[nodiscard]] auto encodeCallsPerRequest(const dispatch::RetryBudget::CallsPerRequest& calls) -> std::string;
[[nodiscard]] auto decodeCallsPerRequest(std::string_view text) -> dispatch::RetryBudget::CallsPerRequest;

} // namespace coriandergate::relay
