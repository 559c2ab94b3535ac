// Names of the HTTP headers that callers and targets use. The platform's adapter fills them in.
//
//   const HeaderNames names { .requestId = "X-Request-Id", .deadline = "X-Deadline-Milliseconds" };
#pragma once

#include <string>

namespace coriandergate::relay {

// HeaderNames is a value.
struct HeaderNames {
    std::string requestId; // set by the caller; the target echoes it in its response
    std::string deadline; // milliseconds until the caller gives up
    std::string signature; // on a response, proves that the target itself produced it
    std::string clientAccount; // name of the client account whose API key the request carried
    std::string expectedTarget; // id of the target instance that the request is meant for; any other rejects it
    std::string load; // on a response: running requests, waiting requests, slots
    std::string notExecuted; // on a response: the target rejected the request without executing it
    std::string retryAfter; // seconds, with a fraction
    std::string callerService; // service of the host whose daemon accepted the request
    std::string apiKey; // the client account's API key
    std::string coldTime; // on a response: milliseconds for which the target stays cold
};

} // namespace coriandergate::relay
