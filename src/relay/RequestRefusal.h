// Why an entry refuses a request that no target has executed, and when its caller may come back.
//
//   return RequestRefusal { http::statusNotFound, "no route", std::nullopt };
#pragma once

#include <chrono>
#include <optional>
#include <string_view>

namespace coriandergate::relay {

// RequestRefusal is a value. Its reason outlives it.
struct RequestRefusal {
    int status = 0;
    std::string_view reason;
    std::optional<std::chrono::milliseconds> retryAfter;
};

} // namespace coriandergate::relay
