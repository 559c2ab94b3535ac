// Decides whether a client account may have one more request now, over all hosts together.
#pragma once

#include "base/Clock.h"
#include "proxy/Refusal.h"

#include <functional>
#include <variant>

namespace coriandergate::proxy {

struct RequestContext;

// RateGranted says that the request may reach a target until `useBy`, and not later.
struct RateGranted {
    MonotonicTime useBy;
};

using RateDecision = std::variant<RateGranted, Refusal>;

class RateGate {
public:
    virtual ~RateGate() = default;

    // acquire() calls `decided` exactly once, before it returns or later, on any thread. Safe from any thread.
    virtual auto acquire(const RequestContext& context, MonotonicTime now, std::function<void(RateDecision)> decided)
        -> void
        = 0;
};

} // namespace coriandergate::proxy
