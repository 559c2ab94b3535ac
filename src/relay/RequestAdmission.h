// The first step of a caller's request: finds its route, its client account and its deadline, or refuses it.
//
//   AdmittedRequest admitted;
//   if (const auto refusal = admitRequest(context, request, receivedAt, SuspendAwareClock::now(), admitted))
//       respond(makeRefusal(context, *refusal));
#pragma once

#include "base/Clock.h"
#include "config/ClientAccount.h"
#include "config/Route.h"
#include "dispatch/HomeRegions.h"
#include "dispatch/RetryBudget.h"
#include "relay/RequestRefusal.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace coriandergate::http {
class HeaderList;
struct Request;
}

namespace coriandergate::relay {

struct EntryContext;
struct HeaderNames;
class PolicySnapshot;

// AdmittedRequest is what the configuration says of one request.
struct AdmittedRequest {
    std::shared_ptr<const PolicySnapshot> snapshot; // owns route and clientAccount
    const config::Route* route = nullptr;
    const config::ClientAccount* clientAccount = nullptr; // null when no key was checked
    std::string key;
    int priority = 0;
    MonotonicTime deadline;

    [[nodiscard]] auto isIdempotent() const -> bool { return route->repeatPolicy == config::RepeatPolicy::Idempotent; }

    // isCallFromTarget() takes a request without a client account for a call that a target makes while it executes
    // another request: if the call fails, the calling request fails too and its work is lost.
    [[nodiscard]] auto isCallFromTarget() const -> bool { return !clientAccount; }

    // queuePriority() is the priority with which it waits at a target of `service`. A call gets the highest priority of
    // the requests that this host's target executes, or of the service's routes where that isn't known.
    [[nodiscard]] auto queuePriority(const EntryContext& context, const std::string& service) const -> int;

    // queueAccount() is the client account that takes turns with others at a target of `service`; null where requests
    // are served by deadline, and for a call.
    [[nodiscard]] auto queueAccount(std::string_view service) const -> const config::ClientAccount*;

    // retryClass() is the class of its retries at a target of `service`.
    [[nodiscard]] auto retryClass(std::string_view service) const -> dispatch::RetryBudget::RetryClass;

    // isKeyRevokedBy() returns whether the key, which was valid on admission, is none of the `current` configuration.
    [[nodiscard]] auto isKeyRevokedBy(const std::shared_ptr<const PolicySnapshot>& current) const -> bool;

    // homes() is where the request may be executed by the `current` configuration, or by that of its admission as far
    // as the current one has the route or the account no longer.
    [[nodiscard]] auto homes(const std::shared_ptr<const PolicySnapshot>& current) const -> dispatch::HomeRegions;

    [[nodiscard]] auto timeLeft(MonotonicTime now) const -> std::chrono::milliseconds
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now);
    }
};

// admitRequest() fills `admitted`, or returns why the request is refused; `admitted` then holds what was found until
// then. `now` is compared with the age of the configuration and of the list of hosts.
[[nodiscard]] auto admitRequest(const EntryContext& context, const http::Request& request, MonotonicTime receivedAt,
    SuspendAwareTime now, AdmittedRequest& admitted) -> std::optional<RequestRefusal>;

// removeUnforwardedHeaders() removes the headers that concern only the caller's connection, and those that daemons set
// themselves.
auto removeUnforwardedHeaders(const HeaderNames& names, http::HeaderList& headers) -> void;

} // namespace coriandergate::relay
