// Stops a request that crashes the targets which run it, also when its caller sends it again.
#pragma once

#include "base/Clock.h"
#include "proxy/Outcome.h"
#include "proxy/Refusal.h"

#include <functional>
#include <optional>
#include <string>

namespace coriandergate::proxy {

struct RequestContext;

class PoisonGate {
public:
    virtual ~PoisonGate() = default;

    // begin() calls `decided` exactly once, on any thread, with nothing when the request may run. Safe from any thread.
    virtual auto begin(
        const RequestContext& context, MonotonicTime now, std::function<void(std::optional<Refusal>)> decided) -> void
        = 0;

    // crashed() reports that `target` crashed while it ran the request. `known` is called, on any thread, once the
    // other daemons can know it or a bound has passed; the caller's answer waits for it. Safe from any thread.
    virtual auto crashed(const RequestContext& context, const std::string& target, MonotonicTime now,
        std::function<void()> known) -> void
        = 0;

    // finished() reports how the request ended, after crashed() too; only one that ran speaks for it. Safe from any
    // thread.
    virtual auto finished(const RequestContext& context, Outcome outcome, MonotonicTime now) -> void = 0;
};

} // namespace coriandergate::proxy
