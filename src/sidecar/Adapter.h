// Platform-specific values and decoders that the sidecar daemon uses. The platform's code fills them in.
//
//   Adapter adapter;
//   adapter.decodeControlCall = platform::decodeControlCall;
#pragma once

#include "config/Configuration.h"
#include "fleet/Deregistration.h"
#include "fleet/LocalTarget.h"
#include "relay/HeaderNames.h"

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <variant>

namespace coriandergate {
struct Error;
}

namespace coriandergate::http {
struct Request;
}

namespace coriandergate::sidecar {

// ControlCall is a message of the target to its host's daemon.
using ControlCall = std::variant<fleet::Heartbeat, fleet::Deregistration>;

// Adapter is a value. Its functions only decode; on failure they return nothing, and the reason names the malformed
// field.
struct Adapter {
    relay::HeaderNames headers;
    std::string readinessPath;
    std::string operatorTable; // the table of the store that operators write
    std::string configurationKey; // the key of the configuration's row in that table
    std::string evacuationPrefix; // a row whose key is this and a data centre evacuates that
    // Home regions that aren't among `knownRegions` are a fault; if it is empty, none is.
    std::function<std::optional<config::Configuration>(
        const std::string& text, Error& reason, const std::set<std::string>& knownRegions)>
        decodeConfiguration;
    // The key of the row says all; an odd value only shows that someone writes rows in another format.
    std::function<bool(const std::string& value, Error& reason)> isSoundEvacuation;
    std::function<std::optional<ControlCall>(const http::Request& request, Error& reason)> decodeControlCall;
};

} // namespace coriandergate::sidecar
