#include "status/Advice.h"

#include "status/RouteView.h"

namespace coriandergate::status {

namespace {

    using std::chrono::milliseconds;

    auto holdsRefusal(const ServiceBoard::Entry& last, milliseconds hold, MonotonicTime now) -> bool
    {
        if (!last.refusedAt || now >= *last.refusedAt + hold)
            return false;
        return !last.answeredAt || *last.answeredAt < *last.refusedAt;
    }

} // namespace

auto advise(const RouteView& view, const Advice::Options& options, MonotonicTime now) -> Advice
{
    Advice advice;
    if (view.heardAt)
        advice.age = std::chrono::ceil<milliseconds>(now - *view.heardAt);
    if (view.isDraining) {
        advice.reason = "stopping";
    } else if (view.targets == 0 || !view.heardAt) {
        advice.reason = "no-target";
    } else if (advice.age > options.staleAfter) {
        advice.reason = "old-news";
    } else if (holdsRefusal(view.last, options.retryAfterRefusal, now)) {
        advice.action = Action::Retry;
        advice.reason = "refused";
        advice.retryAfter = std::chrono::ceil<milliseconds>(*view.last.refusedAt + options.retryAfterRefusal - now);
    } else {
        advice.action = Action::Call;
        advice.reason = "serving";
    }
    return advice;
}

} // namespace coriandergate::status
