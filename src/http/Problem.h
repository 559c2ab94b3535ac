// The body of an answer that the daemon itself gives: application/problem+json (RFC 9457).
//
//   auto answer = makeAnswer(503, problemContentType, problemBody(503, "no target"));
#pragma once

#include <string>
#include <string_view>

namespace coriandergate::http {

inline constexpr std::string_view problemContentType = "application/problem+json";

// problemBody() is a problem document that says "not run" and why. Safe from any thread.
[[nodiscard]] auto problemBody(int status, std::string_view reason) -> std::string;

} // namespace coriandergate::http
