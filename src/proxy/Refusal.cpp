#include "proxy/Refusal.h"

#include "http/Problem.h"
#include "proxy/ProxyHeaders.h"

#include <nlohmann/json.hpp>

namespace coriandergate::proxy {

using nlohmann::json;

auto refusalAnswer(const Refusal& refusal, std::string_view requestId) -> http::Answer
{
    json document { { "type", "about:blank" }, { "title", "request refused" }, { "status", refusal.status },
        { "detail", refusal.error.reason }, { "step", refusal.error.step }, { "peer", refusal.error.peer },
        { "outcome", outcomeText(refusal.outcome) }, { "requestId", requestId },
        { "mayTryOtherTarget", refusal.mayTryOtherTarget } };
    if (refusal.retryAfter)
        document["retryAfterMilliseconds"] = refusal.retryAfter->count();
    const auto body = document.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
    auto answer = http::makeAnswer(refusal.status, http::problemContentType, body);
    answer.headers.add(headers::outcome, outcomeText(refusal.outcome));
    answer.headers.add(headers::requestId, requestId);
    answer.headers.add(headers::refusal, "1");
    if (refusal.retryAfter) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(*refusal.retryAfter);
        answer.headers.add("Retry-After", std::to_string(std::max<std::int64_t>(1, seconds.count())));
    }
    return answer;
}

auto parseRefusal(const http::Answer& answer) -> Refusal
{
    Refusal refusal;
    refusal.status = answer.status;
    refusal.outcome = parseOutcome(answer.headers.find(headers::outcome).value_or(""));
    refusal.error = { "read refusal", "", "the refusal can't be read" };
    const auto document = json::parse(answer.body, nullptr, false);
    if (!document.is_object())
        return refusal;
    refusal.error = { document.value("step", ""), document.value("peer", ""), document.value("detail", "") };
    refusal.mayTryOtherTarget = document.value("mayTryOtherTarget", false);
    if (document.contains("retryAfterMilliseconds"))
        refusal.retryAfter = std::chrono::milliseconds(document.value("retryAfterMilliseconds", std::int64_t { 0 }));
    return refusal;
}

} // namespace coriandergate::proxy
