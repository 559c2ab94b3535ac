// The second attempt of a request whose first one runs for long (a hedged request): takes a free slot at another
// target, or none, and runs the request there.
//
//   m_hedge = std::make_unique<HedgedAttempt>(context, target, id);
//   m_hedge->start(message, { .makeRun = ..., .onGivenUp = ..., .onEnded = ... });
#pragma once

#include "relay/TargetAttempt.h"

#include <functional>
#include <optional>
#include <string>

namespace coriandergate::relay {

// HedgedAttempt runs on the thread of its context, which outlives it. The destructor gives up what is still under way;
// its callbacks are not called afterwards. Each callback may destroy it.
class HedgedAttempt {
public:
    struct Callbacks {
        // makeRun() is called once a slot was granted. Without a message the attempt is given up.
        std::function<std::optional<RunRequest>()> makeRun;
        std::function<void()> onGivenUp; // the request was not sent
        std::function<void(TargetAttempt::RunResult result)> onEnded;
    };

    HedgedAttempt(EntryContext& context, dispatch::LoadBalancer::TargetPointer target, std::string requestId);

    // start() asks for a slot. Afterwards either onGivenUp() or onEnded() is called once, later.
    auto start(const ReserveRequest& message, Callbacks callbacks) -> void;

    // isRunning() returns whether the request was sent.
    [[nodiscard]] auto isRunning() const -> bool { return m_isRunning; }
    [[nodiscard]] auto target() const -> const dispatch::LoadBalancer::Description& { return m_attempt.target(); }

private:
    auto onSlotResult(const TargetAttempt::SlotResult& result) -> void;

    TargetAttempt m_attempt;
    Callbacks m_callbacks;
    bool m_isRunning = false;
};

} // namespace coriandergate::relay
