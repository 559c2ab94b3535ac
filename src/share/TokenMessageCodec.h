// The JSON form of the messages about shares.
//
//   Error reason;
//   const auto ask = decodeTokenRequest(encodeTokenRequest(original), reason);
#pragma once

#include "base/Error.h"

#include <optional>
#include <string>
#include <string_view>

namespace coriandergate::share {

struct TokenRequest;
struct TokenResponse;

// encodeTokenRequest() and encodeTokenResponse() write a message. Safe from any thread.
[[nodiscard]] auto encodeTokenRequest(const TokenRequest& ask) -> std::string;
[[nodiscard]] auto encodeTokenResponse(const TokenResponse& grant) -> std::string;

// decodeTokenRequest() and decodeTokenResponse() read one; on malformed text they return nothing and say why in
// `reason`. Safe from any thread.
[[nodiscard]] auto decodeTokenRequest(std::string_view text, Error& reason) -> std::optional<TokenRequest>;
[[nodiscard]] auto decodeTokenResponse(std::string_view text, Error& reason) -> std::optional<TokenResponse>;

} // namespace coriandergate::share
