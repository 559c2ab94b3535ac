#include "status/Advice.h"

#include "status/RouteStatus.h"

namespace coriandergate::status {

namespace {

    using std::chrono::milliseconds;

    // Returns whether the last refusal is within the hold time and no response has been received since.
    auto isRefusalHeld(const ServiceOutcomeTable::Entry& outcome, milliseconds holdTime, MonotonicTime now) -> bool
    {
        if (!outcome.lastRefusalAt || now >= *outcome.lastRefusalAt + holdTime)
            return false;
        return !outcome.lastResponseAt || *outcome.lastResponseAt < *outcome.lastRefusalAt;
    }

} // namespace

auto advise(const RouteStatus& status, const Advice::Options& options, MonotonicTime now) -> Advice
{
    Advice advice;
    if (status.lastSeenAt)
        advice.age = std::chrono::ceil<milliseconds>(now - *status.lastSeenAt);
    if (status.isDraining) {
        advice.reason = "stopping";
    } else if (status.targetCount == 0 || !status.lastSeenAt) {
        advice.reason = "no-target";
    } else if (advice.age > options.staleAfter) {
        advice.reason = "old-news";
    } else if (isRefusalHeld(status.lastOutcome, options.refusalHoldTime, now)) {
        advice.action = Action::Retry;
        advice.reason = "refused";
        advice.retryAfter
            = std::chrono::ceil<milliseconds>(*status.lastOutcome.lastRefusalAt + options.refusalHoldTime - now);
    } else {
        advice.action = Action::Call;
        advice.reason = "serving";
    }
    return advice;
}

} // namespace coriandergate::status
