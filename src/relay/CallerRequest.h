// What the steps of one request of a caller share: the request itself, what the configuration says of it, where it may
// still go, and what its attempts came to.
//
//   const auto request = std::make_shared<CallerRequest>(context, exchange);
//   if (request->history.mayHaveRun) ...
#pragma once

#include "base/Clock.h"
#include "dispatch/TargetSearch.h"
#include "relay/CrashGuard.h"
#include "relay/PeerMessages.h"
#include "relay/RequestAdmission.h"
#include "relay/RunHistory.h"
#include "relay/TargetChoice.h"

#include <chrono>
#include <memory>
#include <string>

namespace coriandergate::http {
class Exchange;
}

namespace coriandergate::relay {

struct EntryContext;

// CallerRequest is used on the thread of its context, which outlives every use of it but the destructor.
struct CallerRequest {
    CallerRequest(EntryContext& context, std::shared_ptr<http::Exchange> exchange);
    ~CallerRequest() = default;
    CallerRequest(const CallerRequest&) = delete;
    auto operator=(const CallerRequest&) -> CallerRequest& = delete;

    // targetLatencyLeft() is the time until the route's target latency is exceeded; negative once it is.
    [[nodiscard]] auto targetLatencyLeft(MonotonicTime now) const -> std::chrono::milliseconds;
    [[nodiscard]] auto latency(MonotonicTime now) const -> std::chrono::milliseconds;

    // makeReserveRequest() asks for a slot for the target that the search returned last; makeRunRequest() is the
    // message that carries the request to a target's host.
    [[nodiscard]] auto makeReserveRequest(MonotonicTime now) const -> ReserveRequest;
    [[nodiscard]] auto makeRunRequest(MonotonicTime now) const -> RunRequest;

    EntryContext& context;
    std::shared_ptr<http::Exchange> exchange;
    std::string id;
    MonotonicTime receivedAt;
    AdmittedRequest admitted;
    std::string service; // set once the request is admitted
    int priority = 0;
    dispatch::TargetSearch search;
    TargetChoice choice;
    CrashGuard crashGuard;
    RunHistory history;
};

} // namespace coriandergate::relay
