// Takes a client account's key out of a request, so that no target ever sees it.
//
//   Error reason;
//   const auto key = takeKey(request, reason); // request no longer carries it anywhere
#pragma once

#include "base/Error.h"

#include <optional>
#include <string>

namespace coriandergate::http {
struct Request;
}

namespace coriandergate::proxy {

// takeKey() is the key that came with the request, or nothing when none came. It is looked for in X-Api-Key, in
// "Authorization: Bearer" and in the query parameter api_key, and all three are removed from `request`, as is every
// other header and query parameter in which the key's text stands. Two different keys are a fault: then there is no
// result and `reason` is set. Safe from any thread.
[[nodiscard]] auto takeKey(http::Request& request, Error& reason) -> std::optional<std::string>;

} // namespace coriandergate::proxy
