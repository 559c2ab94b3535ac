// What an entry and the daemon beside a target say to each other, in CBOR within HTTP.
//
// A request crosses in two steps on one connection. The entry asks for a slot; the daemon answers once one is free, or
// refuses. Only then the entry sends the request itself. So until its last step the entry knows for certain that the
// target hasn't seen the request, and a path that fails costs nothing.
#pragma once

#include "dispatch/AttemptBudget.h"
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
// Stands with every answer to a run: how the attempt ended at the target.
inline constexpr std::string_view outcomeHeader = "Coriandergate-Outcome";
// Stands with every answer: running, waiting, slots, percent of requests refused and, of a failing target, the
// milliseconds to its next trial.
inline constexpr std::string_view loadHeader = "Coriandergate-Load";
// Stands with a granted slot for a repeatable request: what a run of it calls besides, "service=ratio,...".
inline constexpr std::string_view callsHeader = "Coriandergate-Calls";

// Why a slot is refused, where the entry must know: the body of the refusal.
inline constexpr std::string_view noSlotInTime = "no slot in time";
inline constexpr std::string_view targetIsFailing = "target fails";

// HopOutcome says how an attempt ended.
enum class RunOutcome {
    Answered, // the target's own whole answer
    NotSent, // the target has not seen the request and never will
    NotRun, // the target refused it and never will run it
    MayHaveRun, // no whole answer of the target came
};

// ReserveAsk asks for a slot of a target.
struct ReserveRequest {
    std::string requestId; // for the logs
    std::string service;
    int priority = 0;
    bool isRepeatable = false;
    std::chrono::milliseconds targetLatencyLeft { 0 }; // an answer later than this is of less use
    std::chrono::milliseconds patience { 0 }; // for a slot
    bool takesFailing = false; // most targets fail, so that a failing one is better than none
    bool isServedLate = false; // the target latency can't be kept any more; the request waits behind those that can
};

// RunAsk is the request itself.
struct RunRequest {
    http::Request request;
    std::string requestId;
    std::string callerService;
    std::string clientAccount; // empty for an open route
    bool isRepeatable = false;
    std::chrono::milliseconds timeLeft { 0 };
    std::chrono::milliseconds targetLatencyLeft { 0 };
    std::optional<std::chrono::milliseconds> expiresAt; // on the store's clock, which both daemons know
};

// RateAsk asks the home of a client account for one request of its rate.
struct RateLimitRequest {
    std::string clientAccount;
};

// AttemptAsk asks another entry to lend one further attempt of its part of the fleet's budget.
struct BorrowRequest {
    std::string service;
    dispatch::AttemptBudget::CallsPerRun calls; // that the attempt's run makes

    friend auto operator==(const BorrowRequest&, const BorrowRequest&) -> bool = default;
};

// TargetNews is what the daemon beside a target tells of it.
struct TargetLoadReport {
    dispatch::TargetLoad load;
    double rejectionRate = 0; // of the requests that reached it lately
    std::optional<std::chrono::milliseconds> nextTrialIn; // of a failing target
};

// The encoders make whole HTTP requests. Safe from any thread.
[[nodiscard]] auto encodeReserveRequest(const ReserveRequest& ask) -> std::string;
[[nodiscard]] auto encodeRunRequest(const RunRequest& ask) -> std::string;
[[nodiscard]] auto encodeRateLimitRequest(const RateLimitRequest& ask) -> std::string;
[[nodiscard]] auto encodeBorrowRequest(const BorrowRequest& ask) -> std::string;

// The decoders read the body of such a request; nothing, with a reason, when it can't be read. Safe from any thread.
[[nodiscard]] auto decodeReserveRequest(const std::string& body, Error& reason) -> std::optional<ReserveRequest>;
[[nodiscard]] auto decodeRunRequest(const std::string& body, Error& reason) -> std::optional<RunRequest>;
[[nodiscard]] auto decodeRateLimitRequest(const std::string& body, Error& reason) -> std::optional<RateLimitRequest>;
[[nodiscard]] auto decodeBorrowRequest(const std::string& body, Error& reason) -> std::optional<BorrowRequest>;

// The turn says in how many milliseconds a home that refused has the next request of the account.
[[nodiscard]] auto encodeRetryDelay(std::chrono::milliseconds turnIn) -> std::string;
[[nodiscard]] auto decodeRetryDelay(std::string_view text) -> std::optional<std::chrono::milliseconds>;

[[nodiscard]] auto outcomeName(RunOutcome outcome) -> std::string_view;
[[nodiscard]] auto parseOutcome(std::string_view name) -> std::optional<RunOutcome>;
[[nodiscard]] auto encodeLoadReport(const TargetLoadReport& news) -> std::string;
[[nodiscard]] auto decodeLoadReport(std::string_view text) -> std::optional<TargetLoadReport>;
[[nodiscard]] auto encodeCallsPerRun(const dispatch::AttemptBudget::CallsPerRun& calls) -> std::string;
[[nodiscard]] auto decodeCallsPerRun(std::string_view text) -> dispatch::AttemptBudget::CallsPerRun;

} // namespace coriandergate::relay
