// What is known of one request from its arrival on.
#pragma once

#include "base/Clock.h"
#include "config/Route.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace coriandergate::proxy {

// RequestContext is made by the entry and doesn't change afterwards.
struct RequestContext {
    std::string id;
    config::Route route;
    std::string clientAccount; // empty on an open route without a key
    std::string keyDigest; // empty without a key
    std::string idempotencyKey; // empty when the caller gave none
    std::uint64_t fingerprint = 0; // of account, method, target and body
    MonotonicTime arrivedAt;
    MonotonicTime deadline;
    std::size_t worker = 0; // whose thread handles it
};

} // namespace coriandergate::proxy
