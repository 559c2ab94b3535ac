// The messages between a host and its relay, for simulations that carry them without a connection.
//
//   http::Request request { .method = "POST", .body = relayRequestBody(watch) };
//   auto result = decodeRelayAnswer(answer, address);
#pragma once

#include "fleet/RelayTransport.h"

#include <string>

namespace coriandergate::http {
struct Answer;
}

namespace coriandergate::testing {

// relayRequestBody() is the body of the HTTP request that carries `watch`.
[[nodiscard]] auto relayRequestBody(const fleet::RelayWatchRequest& watch) -> std::string;

// decodeRelayAnswer() is what a transport returns for the relay's answer; `address` is that of the relay.
[[nodiscard]] auto decodeRelayAnswer(const http::Answer& answer, const std::string& address)
    -> fleet::RelayTransport::Result;

} // namespace coriandergate::testing
