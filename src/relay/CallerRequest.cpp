#include "relay/CallerRequest.h"

#include "http/Exchange.h"
#include "relay/EntryContext.h"
#include "relay/PolicySnapshot.h"

#include <utility>

namespace coriandergate::relay {

using std::chrono::milliseconds;

CallerRequest::CallerRequest(EntryContext& entryContext, std::shared_ptr<http::Exchange> callerExchange)
    : context(entryContext)
    , exchange(std::move(callerExchange))
    , id(exchange->request().headers.find(context.headers.requestId).value_or(""))
    , receivedAt(monotonicNow())
    , search(context.options.search)
    , choice(context, admitted, service)
    , crashGuard(context, exchange)
{
}

auto CallerRequest::targetLatencyLeft(MonotonicTime now) const -> milliseconds
{
    return std::chrono::duration_cast<milliseconds>(receivedAt + admitted.route->targetLatency - now);
}

auto CallerRequest::latency(MonotonicTime now) const -> milliseconds
{
    return std::chrono::duration_cast<milliseconds>(now - receivedAt);
}

auto CallerRequest::makeReserveRequest(MonotonicTime now) const -> ReserveRequest
{
    const auto latencyLeft = targetLatencyLeft(now);
    const auto* account = admitted.queueAccount(service);
    return { .requestId = id,
        .service = service,
        .priority = priority,
        .isIdempotent = admitted.isIdempotent(),
        .targetLatencyLeft = latencyLeft,
        .maximumWait = search.maximumWait({ .toTargetLatency = latencyLeft, .toDeadline = admitted.timeLeft(now) }),
        .acceptsFailingTarget = choice.isInPanicMode(now),
        .isPastTargetLatency = search.isPastTargetLatency(),
        .clientAccount = account ? account->name : "",
        .accountWeight = account ? admitted.snapshot->accountWeight(*account) : 1 };
}

auto CallerRequest::makeRunRequest(MonotonicTime now) const -> RunRequest
{
    RunRequest message { .request = exchange->request(),
        .requestId = id,
        .callerService = context.service,
        .clientAccount = admitted.clientAccount ? admitted.clientAccount->name : "",
        .isIdempotent = admitted.isIdempotent(),
        .timeLeft = admitted.timeLeft(now),
        .targetLatencyLeft = targetLatencyLeft(now),
        .expiresAt = {},
        .configurationVersion = context.snapshot->configuration().version };
    // By the latest time that the store's clock may show, since the target's host may know the clock better.
    if (const auto storeTime = context.configurationFreshness.latestStoreTime(SuspendAwareClock::now()))
        message.expiresAt = *storeTime + message.timeLeft;
    return message;
}

} // namespace coriandergate::relay
