// The last step of a caller's request: the responses that an entry makes itself, and the record of how a request ended.
//
//   auto response = makeRefusal(context, { http::statusUnavailable, "no slot in time", 300ms });
//   recordEnd(context, end, now);
#pragma once

#include "base/Clock.h"
#include "http/Answer.h"
#include "relay/RequestRefusal.h"

#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>

namespace coriandergate::relay {

struct AdmittedRequest;
struct EntryContext;

// EndOfRequest is how a request ended.
struct EndOfRequest {
    const AdmittedRequest& admitted;
    std::string requestId;
    std::string service;
    int status = 0;
    std::string_view reason;
    std::chrono::milliseconds latency { 0 };
    std::size_t attempts = 0;
    std::size_t rejections = 0;
};

// The reason that log events and metrics give for a target's response.
inline constexpr std::string_view answeredReason = "answered";
// The same for a request without a response.
inline constexpr std::string_view callerLeftReason = "caller left";

// makeRefusal() returns the response of a refusal. Its Retry-After is kept between the bounds of the context's options.
[[nodiscard]] auto makeRefusal(const EntryContext& context, const RequestRefusal& refusal) -> http::Answer;

// recordEnd() counts and logs the end of a request that got a response.
auto recordEnd(EntryContext& context, const EndOfRequest& end, SuspendAwareTime now) -> void;

// recordCallerLeft() counts and logs the end of a request whose caller left before the response; it has no status.
auto recordCallerLeft(EntryContext& context, const EndOfRequest& end, SuspendAwareTime now) -> void;

// overloadRetryAfter() is when a caller may come back whose request found no slot. It spreads the callers' retries over
// about the time that the targets need to work off their queues; `spread` is a random number from 0.5 to 1.5.
[[nodiscard]] auto overloadRetryAfter(const EntryContext& context, std::chrono::milliseconds targetLatency,
    double meanUtilization, double spread) -> std::chrono::milliseconds;

} // namespace coriandergate::relay
