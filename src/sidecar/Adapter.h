// What the sidecar daemon needs from the platform it runs on; the platform's adapter fills it in.
#pragma once

#include "config/Configuration.h"
#include "fleet/Deregistration.h"
#include "fleet/LocalTarget.h"
#include "relay/HeaderNames.h"

#include <functional>
#include <optional>
#include <string>
#include <variant>

namespace coriandergate {
struct Error;
}

namespace coriandergate::http {
struct Request;
}

namespace coriandergate::sidecar {

using ControlCall = std::variant<fleet::Heartbeat, fleet::Deregistration>;

// Adapter is a value. Its functions only translate; failures name the field that can't be read.
struct Adapter {
    relay::HeaderNames headers;
    std::string readinessPath;
    std::string operatorTable; // where operators write
    std::string configurationKey; // their configuration's row in it
    std::function<std::optional<config::Configuration>(const std::string& text, Error& reason)> decodeConfiguration;
    std::function<std::optional<ControlCall>(const http::Request& request, Error& reason)> decodeControlCall;
};

} // namespace coriandergate::sidecar
