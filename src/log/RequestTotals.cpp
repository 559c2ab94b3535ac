#include "log/RequestTotals.h"

#include <string>

namespace coriandergate::log {

auto RequestTotals::End::kind() const -> Kind
{
    constexpr int firstErrorStatus = 500;
    constexpr int badGateway = 502;
    constexpr int gatewayTimeout = 504;
    if (status == 0)
        return Kind::CallerLeft;
    if (why == "answered")
        return status >= firstErrorStatus ? Kind::Failed : Kind::Answered;
    const bool isFailed = status == firstErrorStatus || status == badGateway || status == gatewayTimeout
        || why == "the target's failure";
    return isFailed ? Kind::Failed : Kind::Refused;
}

auto RequestTotals::add(const End& end) -> void
{
    ++requests;
    attempts += end.attempts;
    rejections += end.rejections;
    times.add(end.time);
    switch (end.kind()) {
    case Kind::Answered:
        ++answered;
        break;
    case Kind::Refused:
        refused.add(end.why);
        refusalTimes.add(end.time);
        break;
    case Kind::Failed:
        if (end.why == "answered")
            failed.add("the target's response was " + std::to_string(end.status));
        else
            failed.add(end.why);
        break;
    case Kind::CallerLeft:
        ++callerLeft;
        break;
    }
}

auto RequestTotals::merge(const RequestTotals& other) -> void
{
    requests += other.requests;
    answered += other.answered;
    callerLeft += other.callerLeft;
    attempts += other.attempts;
    rejections += other.rejections;
    refused.merge(other.refused);
    failed.merge(other.failed);
    times.merge(other.times);
    refusalTimes.merge(other.refusalTimes);
}

auto RequestTotals::weight() const -> double
{
    constexpr double perLostRequest = 1e6;
    return static_cast<double>(lost()) * perLostRequest + static_cast<double>(requests);
}

} // namespace coriandergate::log
