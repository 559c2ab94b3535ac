// Codec for the CBOR messages by which a daemon watches a table of the store through a relay, which is another daemon.
//
//   const auto request = encodeRelayWatchRequest({ "hosts", 17, 2s });
//   Error reason;
//   if (const auto response = decodeRelayWatchResponse(body, reason)) ...
#pragma once

#include "fleet/StoreClient.h"

#include <optional>
#include <string>
#include <string_view>

namespace coriandergate::fleet {

// HTTP path of the watch request at a relay.
inline constexpr std::string_view relayWatchPath = "/news";

// RelayWatchRequest is a long poll for the rows of a table that changed after a version, or for all of its rows.
struct RelayWatchRequest {
    std::string table;
    std::uint64_t after = 0;
    std::chrono::milliseconds wait { 0 };
    // The relay may hold the request while it gets no response of the store itself, instead of rejecting it.
    bool canOutliveOutage = false;
    bool isSnapshot = false; // asks for all rows, at the latest after `wait`; the daemon need not be a relay
    bool acceptsAnyAge = false; // of the rows of a snapshot
    bool isFromRelay = false; // the daemon that asks is a relay itself
};

// encodeRelayWatchRequest() returns a complete HTTP request, encodeRelayWatchResponse() the body of its response.
// Thread-safe.
[[nodiscard]] auto encodeRelayWatchRequest(const RelayWatchRequest& request) -> std::string;
[[nodiscard]] auto encodeRelayWatchResponse(const StoreResponse& response) -> std::string;

// decodeRelayWatchRequest() and decodeRelayWatchResponse() parse the bodies. They return nothing, with a reason, if the
// body is malformed. Thread-safe.
[[nodiscard]] auto decodeRelayWatchRequest(const std::string& body, Error& reason) -> std::optional<RelayWatchRequest>;
[[nodiscard]] auto decodeRelayWatchResponse(const std::string& body, Error& reason) -> std::optional<StoreResponse>;

} // namespace coriandergate::fleet
