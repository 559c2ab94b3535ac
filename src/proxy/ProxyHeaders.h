// Names of the headers that the proxy reads and writes.
#pragma once

#include <string_view>

namespace coriandergate::proxy::headers {

// Seen by callers and targets.
inline constexpr std::string_view requestId = "X-Request-Id";
inline constexpr std::string_view apiKey = "X-Api-Key";
inline constexpr std::string_view apiKeyParameter = "api_key";
inline constexpr std::string_view idempotencyKey = "Idempotency-Key";
inline constexpr std::string_view deadline = "X-Deadline-Ms"; // time left, whole milliseconds
inline constexpr std::string_view outcome = "Coriandergate-Outcome";
inline constexpr std::string_view refusal = "Coriandergate-Refusal"; // the answer is the daemon's, not the target's

// Between daemons only. Whatever starts like this is removed from what callers and targets send.
inline constexpr std::string_view internalPrefix = "Coriandergate-";
inline constexpr std::string_view forward = "Coriandergate-Forward"; // what the entry tells the owner, as JSON
inline constexpr std::string_view report = "Coriandergate-Report"; // what the owner tells the entry, as JSON

} // namespace coriandergate::proxy::headers
