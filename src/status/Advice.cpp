#include "status/Advice.h"

#include "status/RouteStatus.h"

namespace coriandergate::status {

namespace {

    using std::chrono::milliseconds;

    auto holdsRefusal(const ServiceOutcomeTable::Entry& last, milliseconds hold, MonotonicTime now) -> bool
    {
        if (!last.refusedAt || now >= *last.refusedAt + hold)
            return false;
        return !last.answeredAt || *last.answeredAt < *last.refusedAt;
    }

} // namespace

auto advise(const RouteStatus& view, const Advice::Options& options, MonotonicTime now) -> Advice
{
    Advice advice;
    if (view.lastSeenAt)
        advice.age = std::chrono::ceil<milliseconds>(now - *view.lastSeenAt);
    if (view.isDraining) {
        advice.reason = "stopping";
    } else if (view.targetCount == 0 || !view.lastSeenAt) {
        advice.reason = "no-target";
    } else if (advice.age > options.staleAfter) {
        advice.reason = "old-news";
    } else if (holdsRefusal(view.lastOutcome, options.retryAfterRefusal, now)) {
        advice.action = Action::Retry;
        advice.reason = "refused";
        advice.retryAfter
            = std::chrono::ceil<milliseconds>(*view.lastOutcome.refusedAt + options.retryAfterRefusal - now);
    } else {
        advice.action = Action::Call;
        advice.reason = "serving";
    }
    return advice;
}

} // namespace coriandergate::status
