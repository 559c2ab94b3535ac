#include "proxy/OwnerHandler.h"

#include "http/Exchange.h"
#include "http/Status.h"
#include "proxy/ForwardCodec.h"
#include "proxy/OwnerService.h"
#include "proxy/ProxyHeaders.h"

namespace coriandergate::proxy {

namespace {

    auto toAnswer(OwnerResult result, const std::string& requestId) -> http::Answer
    {
        if (const auto* refused = std::get_if<OwnerRefusal>(&result)) {
            auto answer = refusalAnswer(refused->refusal, requestId);
            answer.headers.add(headers::report, encodeReport(refused->report));
            return answer;
        }
        auto& answered = std::get<OwnerAnswer>(result);
        removeInternalHeaders(answered.answer.headers);
        http::removeHopByHop(answered.answer.headers);
        answered.answer.headers.add(headers::report, encodeReport(answered.report));
        return std::move(answered.answer);
    }

} // namespace

auto handleForwarded(std::shared_ptr<const ProxyContext> context, std::shared_ptr<http::Exchange> exchange) -> void
{
    Error reason;
    auto request = decodeForward(std::move(exchange->request()), monotonicNow(), reason);
    if (!request) {
        exchange->answer(refusalAnswer({ .status = http::statusBadRequest,
                                           .outcome = Outcome::NotRun,
                                           .error = reason,
                                           .retryAfter = std::nullopt,
                                           .mayTryOtherTarget = true },
            ""));
        return;
    }
    request->worker = exchange->worker();
    const auto id = request->id;
    const auto run = OwnerService::start(std::move(context), std::move(*request),
        [exchange, id](OwnerResult result) { exchange->answer(toAnswer(std::move(result), id)); });
    exchange->onAbandoned([weak = std::weak_ptr(run)] {
        if (const auto still = weak.lock())
            still->cancel();
    });
}

} // namespace coriandergate::proxy
