// Encodes and decodes token requests and responses as JSON.
//
//   Error reason;
//   const auto request = decodeTokenRequest(encodeTokenRequest(original), reason);
#pragma once

#include "base/Error.h"

#include <optional>
#include <string>
#include <string_view>

namespace coriandergate::share {

struct TokenRequest;
struct TokenResponse;

// encodeTokenRequest() and encodeTokenResponse() encode a message. Safe from any thread.
[[nodiscard]] auto encodeTokenRequest(const TokenRequest& request) -> std::string;
[[nodiscard]] auto encodeTokenResponse(const TokenResponse& response) -> std::string;

// decodeTokenRequest() and decodeTokenResponse() decode a message; for malformed text they return empty and set
// `reason`. Safe from any thread.
[[nodiscard]] auto decodeTokenRequest(std::string_view text, Error& reason) -> std::optional<TokenRequest>;
[[nodiscard]] auto decodeTokenResponse(std::string_view text, Error& reason) -> std::optional<TokenResponse>;

} // namespace coriandergate::share
