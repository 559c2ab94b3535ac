// The names of the headers that callers, targets and this project agree on. The platform's adapter fills them in.
#pragma once

#include <string>

namespace coriandergate::relay {

// HeaderNames is a value.
struct HeaderNames {
    std::string requestId; // the caller's name for one attempt; a target repeats it in its answer
    std::string deadline; // milliseconds that the caller will wait
    std::string signature; // proves that an answer is the target's
    std::string clientAccount; // whose key came with the request
    std::string expectedTarget; // another target than this refuses
    std::string load; // a target's running and waiting requests and its slots
    std::string notExecuted; // a target's word that it did not run the request
    std::string retryAfter; // seconds, with fractions
    std::string callerService; // the service of the host where the request began
    std::string apiKey; // the client account's key
};

} // namespace coriandergate::relay
