// Gives out the slots of the targets on this host and lets requests wait for them in a fair order.
#pragma once

#include "base/Clock.h"
#include "proxy/Refusal.h"

#include <cstdint>
#include <functional>
#include <string>
#include <variant>

namespace coriandergate::proxy {

// SlotRequest is one request that wants a slot of `target`.
struct SlotRequest {
    std::string service;
    std::string target; // IP:port
    std::uint32_t slots = 1; // that the target announced
    std::string clientAccount;
    MonotonicTime deadline;
};

// SlotGranted says that the request has a slot until SlotGate::release().
struct SlotGranted { };

using SlotDecision = std::variant<SlotGranted, Refusal>;

// SlotLoad is a moment's load of one target.
struct SlotLoad {
    std::uint32_t busySlots = 0;
    std::uint32_t waiting = 0;
};

class SlotGate {
public:
    using Ticket = std::uint64_t;

    virtual ~SlotGate() = default;

    // submit() calls `decided` exactly once, before it returns or later, on any thread, unless the ticket is cancelled
    // first. Safe from any thread.
    virtual auto submit(const SlotRequest& request, MonotonicTime now, std::function<void(SlotDecision)> decided)
        -> Ticket = 0;

    // cancel() takes a waiting request out. False when it no longer waits: then its decision has been or is being
    // given.
    virtual auto cancel(Ticket ticket, MonotonicTime now) -> bool = 0;

    // release() gives a granted slot back; `serviceTime` is how long the target took. Safe from any thread.
    virtual auto release(Ticket ticket, MonotonicDuration serviceTime, MonotonicTime now) -> void = 0;

    // load() is the present load of `target` of `service`. Safe from any thread.
    [[nodiscard]] virtual auto load(const std::string& service, const std::string& target) const -> SlotLoad = 0;
};

} // namespace coriandergate::proxy
