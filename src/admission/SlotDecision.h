// The decisions of a SlotTable about a request.
//
//   if (const auto* admitted = std::get_if<Admitted>(&decision))
//       forward(admitted->target);
//   else if (const auto* queued = std::get_if<Queued>(&decision))
//       storeCallback(queued->ticket);
//   else
//       respondRefused(std::get<Refused>(decision));
#pragma once

#include "admission/Ticket.h"
#include "base/Clock.h"

#include <string>
#include <string_view>
#include <variant>

namespace coriandergate::admission {

// RefusalReason says why a request was refused. A refused request has certainly not run.
enum class RefusalReason {
    NoTarget, // no target of the group accepts requests
    QueueFull,
    AccountQueueFull,
    DeadlineTooShort, // would probably be missed, given the expected wait and service time
    DeadlinePassed,
    Evicted, // removed from a full queue in favour of an account with fewer queued requests
};

// toText() is the name of a reason in logs, metrics and problem documents. The names are stable.
[[nodiscard]] auto toText(RefusalReason reason) -> std::string_view;

// Admitted means that the request holds a slot of `target` until its ticket is released.
struct Admitted {
    Ticket ticket;
    std::string target;
};

// Queued means that the request waits. A later call on the table returns its ticket in an Admitted or a Refused.
struct Queued {
    Ticket ticket;
    MonotonicDuration expectedWait;
};

// Refused means that the request did not run. `retryAfter` is the estimated time until a retry may succeed; zero when
// unknown.
struct Refused {
    Ticket ticket;
    RefusalReason reason = RefusalReason::NoTarget;
    MonotonicDuration retryAfter = MonotonicDuration::zero();
};

using SubmitDecision = std::variant<Admitted, Queued, Refused>;
using DequeueDecision = std::variant<Admitted, Refused>; // about a queued request

} // namespace coriandergate::admission
