// A request on its way from the entry to the daemon beside the target.
#pragma once

#include "base/Clock.h"
#include "http/Request.h"

#include <cstddef>
#include <optional>
#include <string>

namespace coriandergate::proxy {

// OwnerRequest is a value. Its points in time are of the clock of the daemon that holds it; between daemons the time
// left travels instead.
struct OwnerRequest {
    std::string id;
    std::string service;
    std::string target; // IP:port
    std::string clientAccount; // empty on an open route without a key
    std::string keyDigest; // checked again just before the target; empty without a key
    bool isOnceOnly = false;
    std::string onceLabel; // of the OnceGate; empty when the request needs no permit
    MonotonicTime deadline;
    std::optional<MonotonicTime> useBy; // of the RateGate
    std::size_t maximumAnswerBytes = 0;
    http::Request request;
    std::size_t worker = 0;
};

} // namespace coriandergate::proxy
