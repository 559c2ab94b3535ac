// How the confirmation of a plan ended.
#pragma once

#include "base/Error.h"
#include "config/ConfigurationHead.h"
#include "control/AuditRecord.h"

#include <variant>
#include <vector>

namespace coriandergate::control {

// Accepted: the plan's target is the head, or was. `wasAlready`: an earlier confirmation did it; nothing changed now.
struct Accepted {
    config::ConfigurationHead head;
    bool wasAlready = false;
};

// Conflict: another change came first and nothing was changed. `changes` is what came since the plan's base.
struct Conflict {
    std::vector<AuditRecord> changes;
};

// NotAccepted: the store did not take the change, and this attempt will never take effect. An earlier attempt that was
// accepted, or whose outcome is unknown, stays as it is.
struct NotAccepted {
    Error error;
};

// ConfirmUnknown: the store's answer was lost and could not be read back; confirm again to learn the outcome.
struct ConfirmUnknown {
    Error error;
};

// NoSuchPlan: there is no plan of this id.
struct NoSuchPlan { };

using ConfirmResult = std::variant<Accepted, Conflict, NotAccepted, ConfirmUnknown, NoSuchPlan>;

} // namespace coriandergate::control
