#include "admission/SlotDecision.h"

namespace coriandergate::admission {

auto toText(RefusalReason reason) -> std::string_view
{
    switch (reason) {
    case RefusalReason::NoTarget:
        return "no-target";
    case RefusalReason::QueueFull:
        return "queue-full";
    case RefusalReason::AccountQueueFull:
        return "account-queue-full";
    case RefusalReason::DeadlineTooShort:
        return "deadline-too-short";
    case RefusalReason::DeadlinePassed:
        return "deadline-passed";
    case RefusalReason::Evicted:
        return "evicted";
    }
    return "unknown";
}

} // namespace coriandergate::admission
