// The daemon's own answer to a request that it can't serve.
//
//   exchange->answer(refusalAnswer({ .status = 503, .outcome = Outcome::NotRun,
//       .error = { "choose target", "ledger", "no target serves" }, .retryAfter = 1s }, requestId));
#pragma once

#include "base/Error.h"
#include "http/Answer.h"
#include "proxy/Outcome.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace coriandergate::proxy {

// Refusal is a value.
struct Refusal {
    int status = 503;
    Outcome outcome = Outcome::NotRun;
    Error error;
    std::optional<std::chrono::milliseconds> retryAfter;
    bool mayTryOtherTarget = false; // the reason lies with the target or its host alone
};

// refusalAnswer() is the refusal as application/problem+json (RFC 9457) with the outcome in a header as well, and
// Retry-After in whole seconds, rounded up. Safe from any thread.
[[nodiscard]] auto refusalAnswer(const Refusal& refusal, std::string_view requestId) -> http::Answer;

// parseRefusal() reads a refusal that another daemon made by refusalAnswer(). Safe from any thread.
[[nodiscard]] auto parseRefusal(const http::Answer& answer) -> Refusal;

} // namespace coriandergate::proxy
