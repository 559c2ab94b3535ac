// Identifiers of requests, which go through to the target and stand in the log.
#pragma once

#include <string>
#include <string_view>

namespace coriandergate::proxy {

// usableRequestId() is `wanted` when it is 1 to 64 letters, digits, '-', '_' or '.', else a fresh random identifier.
// Safe from any thread.
[[nodiscard]] auto usableRequestId(std::string_view wanted) -> std::string;

} // namespace coriandergate::proxy
