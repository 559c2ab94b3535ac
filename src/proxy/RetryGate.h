// Decides whether a failed attempt may be followed by another one.
#pragma once

#include "base/Clock.h"

namespace coriandergate::proxy {

struct RequestContext;
struct Refusal;

class RetryGate {
public:
    virtual ~RetryGate() = default;

    // began() notes a request's first attempt. Safe from any thread.
    virtual auto began(const RequestContext& context, MonotonicTime now) -> void = 0;

    // mayRetry() says whether a request that was refused so after `attempts` attempts may be sent once more, and
    // charges the retry budget if it may. Safe from any thread.
    [[nodiscard]] virtual auto mayRetry(
        const RequestContext& context, const Refusal& refusal, int attempts, MonotonicTime now) -> bool
        = 0;
};

} // namespace coriandergate::proxy
