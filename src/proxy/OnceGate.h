// Sees to it that a request with an Idempotency-Key runs at most once.
//
// The entry only gives each attempt a label; the owner, beside the target, asks whether the attempt may run. So nothing
// is lost with the entry, and a permit can't be held up on its way.
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

// RunPermit lets the attempt run once, if check() agrees when its turn has come.
struct RunPermit { };

// KeptAnswer is the answer of the run that has been, to be given again.
struct KeptAnswer {
    http::Answer answer;
};

using OnceDecision = std::variant<RunPermit, KeptAnswer, Refusal>;

class OnceGate {
public:
    virtual ~OnceGate() = default;

    // label() names one attempt at the request; each attempt needs its own. For the entry. Safe from any thread.
    [[nodiscard]] virtual auto label(const RequestContext& context) -> std::string = 0;

    // begin() calls `decided` exactly once, before it returns or later, on any thread; at `deadline` at the latest with
    // a refusal. For the owner, as all that follows. Safe from any thread.
    virtual auto begin(const std::string& label, MonotonicTime deadline, MonotonicTime now,
        std::function<void(OnceDecision)> decided) -> void
        = 0;

    // check() is asked just before the target: nothing, once, when the attempt may be sent to the target at this very
    // moment, else why not. Safe from any thread.
    [[nodiscard]] virtual auto check(const std::string& label, MonotonicTime now) -> std::optional<Refusal> = 0;

    // finish() tells how an attempt that was begun ended, `answer` being the target's when it ran. After NotRun the
    // caller may try again. Only the first word counts. Safe from any thread.
    virtual auto finish(const std::string& label, Outcome outcome, const http::Answer* answer, MonotonicTime now)
        -> void
        = 0;
};

} // namespace coriandergate::proxy
