// One request of a caller, from its last byte to its response.
//
// Authenticates the request, checks its rate limit, has it forwarded to a target and responds by its deadline.
//
//   EntryRequest::start(context, exchange);
#pragma once

#include "dispatch/AccountRateLimiter.h"
#include "relay/CallerRequest.h"
#include "relay/EntryContext.h"
#include "relay/RequestRefusal.h"

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string_view>

namespace coriandergate::http {
struct Answer;
class Exchange;
}

namespace coriandergate::relay {

class RateLimitCheck;
class RequestForwarding;
struct EndOfRequest;

// EntryRequest keeps itself alive until it has responded or the caller disconnects.
class EntryRequest : public std::enable_shared_from_this<EntryRequest> {
public:
    // start() handles a complete request and responds exactly once, possibly before it returns. After `context` is
    // destroyed the request does nothing any more.
    static auto start(EntryContext& context, std::shared_ptr<http::Exchange> exchange) -> void;

    EntryRequest(EntryContext& context, std::shared_ptr<http::Exchange> exchange);
    ~EntryRequest();
    EntryRequest(const EntryRequest&) = delete;
    auto operator=(const EntryRequest&) -> EntryRequest& = delete;

    // begin() starts processing. It is called once configuration and hosts are known, or when the wait for them is
    // over.
    auto begin() -> void;

    // capDeadline() moves the deadline to `time` if that is earlier; used before the daemon stops.
    auto capDeadline(MonotonicTime time) -> void;

    // cancel() ends the request without a response, and releases what it holds of its context.
    auto cancel() -> void;

private:
    auto waitUntilReady(MonotonicTime until) -> void;
    auto armDeadlineTimer() -> void;
    auto checkRateLimit() -> void;
    auto onRateLimitDecision(const dispatch::AccountRateLimiter::Decision& decision) -> void;
    auto endRateLimitCheck() -> void;
    auto onDeadline() -> void;
    auto onCallerDisconnected() -> void;
    auto refuse(const RequestRefusal& refusal) -> void;
    [[nodiscard]] auto makeEnd(int status, std::string_view why) const -> EndOfRequest;
    auto finish(http::Answer response, std::string_view why) -> void;

    EntryContext& m_context;
    std::shared_ptr<EntryContext::OpenRequests> m_openRequests; // may outlive m_context
    std::shared_ptr<CallerRequest> m_request;
    boost::asio::steady_timer m_deadlineTimer;
    boost::asio::steady_timer m_readyTimer; // ends the wait for the configuration
    std::shared_ptr<RateLimitCheck> m_rateLimitCheck; // set once the owners of the rate limit are asked
    std::shared_ptr<RequestForwarding> m_forwarding; // set by begin()
    bool m_hasBegun = false;
    bool m_isDone = false;
};

} // namespace coriandergate::relay
