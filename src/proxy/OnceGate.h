// Sees to it that a request with an Idempotency-Key runs at most once.
#pragma once

#include "base/Clock.h"
#include "http/Answer.h"
#include "proxy/Outcome.h"
#include "proxy/Refusal.h"

#include <functional>
#include <optional>
#include <string>
#include <variant>

namespace coriandergate::proxy {

struct RequestContext;

// RunPermit lets the request run once; `token` goes to the owner, which checks it just before the target.
struct RunPermit {
    std::string token;
};

// KeptAnswer is the answer of the run that has been, to be given again.
struct KeptAnswer {
    http::Answer answer;
};

using OnceDecision = std::variant<RunPermit, KeptAnswer, Refusal>;

class OnceGate {
public:
    virtual ~OnceGate() = default;

    // begin() calls `decided` exactly once, before it returns or later, on any thread. Safe from any thread.
    virtual auto begin(const RequestContext& context, MonotonicTime now, std::function<void(OnceDecision)> decided)
        -> void
        = 0;

    // finish() tells how the run under `permit` ended, `answer` being the target's when it ran. After NotRun the caller
    // may try again. Safe from any thread.
    virtual auto finish(const RequestContext& context, const RunPermit& permit, Outcome outcome,
        const http::Answer* answer, MonotonicTime now) -> void
        = 0;

    // check() is asked by the owner just before the target: nothing when the permit `token` is valid and used for the
    // first time, else why not. Safe from any thread.
    [[nodiscard]] virtual auto check(const std::string& token, MonotonicTime now) -> std::optional<Refusal> = 0;
};

} // namespace coriandergate::proxy
