// What a SlotTable decides about a request.
//
//   std::visit(Overloaded {
//       [&](const Admitted& run) { forward(run.target); },
//       [&](const Queued& queued) { park(queued.ticket); },
//       [&](const Refused& refused) { answerNotRun(refused); } }, decision);
#pragma once

#include "admission/Ticket.h"
#include "base/Clock.h"

#include <string>
#include <string_view>
#include <variant>

namespace coriandergate::admission {

// RefusalReason says why a request was not run. Every one of them is a definite "not run".
enum class RefusalReason {
    NoTarget, // no target of the group takes work
    QueueFull,
    AccountQueueFull,
    DeadlineTooShort, // the expected wait and service time don't fit
    DeadlinePassed,
    Evicted, // put out of a full queue in favour of an account with fewer requests waiting
};

// toText() is a short, stable name for logs, metrics and problem documents.
[[nodiscard]] auto toText(RefusalReason reason) -> std::string_view;

// Admitted: the request holds a slot of `target` until its ticket is released.
struct Admitted {
    Ticket ticket;
    std::string target;
};

// Queued: the request waits; a later call on the table returns its ticket in a Admitted or a Refused.
struct Queued {
    Ticket ticket;
    MonotonicDuration expectedWait;
};

// Refused: the request was not run. `retryAfter` is when it may fare better; zero when nothing is known.
struct Refused {
    Ticket ticket;
    RefusalReason reason = RefusalReason::NoTarget;
    MonotonicDuration retryAfter = MonotonicDuration::zero();
};

using SubmitDecision = std::variant<Admitted, Queued, Refused>;
using DequeueDecision = std::variant<Admitted, Refused>; // of a request that waited

} // namespace coriandergate::admission
