// The choice of a target for one request of a caller: which targets may get it now, and what is known when none may.
//
// Where a request may go is read from the configuration in force at each call, so that a request which waits, hops or
// is retried follows a change.
//
//   TargetChoice choice(context, admitted, service);
//   if (const auto target = choice.choose(search, attempts == 0, monotonicNow())) ...
//   else if (const auto refusal = choice.refusal(latencyLeft, monotonicNow())) ...
#pragma once

#include "base/Clock.h"
#include "dispatch/LoadBalancer.h"
#include "relay/RequestRefusal.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace coriandergate::dispatch {
class TargetSearch;
}

namespace coriandergate::relay {

struct AdmittedRequest;
struct EntryContext;

// The reason of refusals of requests that find no target in their home regions.
inline constexpr std::string_view noHomeTargetReason = "no target in the home regions";
// The reason of refusals of requests all of whose targets are in evacuated data centres.
inline constexpr std::string_view evacuatedReason = "all data centres with a target are evacuated";

// TargetChoice is used on the thread of its context. What it is constructed with outlives it; request and service are
// set before its functions are called.
class TargetChoice {
public:
    TargetChoice(EntryContext& context, const AdmittedRequest& admitted, const std::string& service)
        : m_context(context)
        , m_admitted(admitted)
        , m_service(service)
    {
    }

    // choose() returns the target to try next, or null. A failing target gets a request as a probe only if it can be
    // retried after the probe fails, so only as its first attempt.
    [[nodiscard]] auto choose(const dispatch::TargetSearch& search, bool isFirstAttempt, MonotonicTime now) const
        -> dispatch::LoadBalancer::TargetPointer;

    // chooseSecond() returns a sound target with a free slot, for a second attempt while the target at `firstAddress`
    // still runs the request; null if there is none.
    [[nodiscard]] auto chooseSecond(const dispatch::TargetSearch& search, const std::string& firstAddress,
        MonotonicTime now) const -> dispatch::LoadBalancer::TargetPointer;

    // hasBudgetForSecond() returns whether the service may get a second attempt of a slow request; chargeSecond() also
    // charges it to the budgets.
    [[nodiscard]] auto hasBudgetForSecond(MonotonicTime now) const -> bool;
    [[nodiscard]] auto chargeSecond(MonotonicTime now) const -> bool;

    // admits() returns whether the request may be sent to `target`, which was chosen earlier.
    [[nodiscard]] auto admits(const dispatch::LoadBalancer::Description& target) const -> bool;

    // refusal() returns why the request is refused at once: it has home regions, and no target there can be tried
    // within `latencyLeft`, or all targets are evacuated.
    [[nodiscard]] auto refusal(std::chrono::milliseconds latencyLeft, MonotonicTime now) const
        -> std::optional<RequestRefusal>;

    // targets() are those where the request may go; the functions below concern the same.
    [[nodiscard]] auto targets() const -> std::vector<dispatch::LoadBalancer::TargetPointer>;
    [[nodiscard]] auto isInPanicMode(MonotonicTime now) const -> bool;

    // retryAfterOverload() is when the caller of a request that found no slot may come back.
    [[nodiscard]] auto retryAfterOverload(MonotonicTime now) const -> std::chrono::milliseconds;

private:
    [[nodiscard]] auto criteria(const dispatch::HomeRegions& homes) const -> dispatch::LoadBalancer::Criteria;
    [[nodiscard]] auto meanUtilization(MonotonicTime now) const -> double;
    [[nodiscard]] auto homes() const -> dispatch::HomeRegions;

    EntryContext& m_context;
    const AdmittedRequest& m_admitted;
    const std::string& m_service;
};

} // namespace coriandergate::relay
