// The JSON form of the messages about shares.
//
//   Error reason;
//   const auto ask = decodeShareAsk(encodeShareAsk(original), reason);
#pragma once

#include "base/Error.h"

#include <optional>
#include <string>
#include <string_view>

namespace coriandergate::share {

struct ShareAsk;
struct ShareGrant;

// encodeShareAsk() and encodeShareGrant() write a message. Safe from any thread.
[[nodiscard]] auto encodeShareAsk(const ShareAsk& ask) -> std::string;
[[nodiscard]] auto encodeShareGrant(const ShareGrant& grant) -> std::string;

// decodeShareAsk() and decodeShareGrant() read one; on malformed text they return nothing and say why in `reason`. Safe
// from any thread.
[[nodiscard]] auto decodeShareAsk(std::string_view text, Error& reason) -> std::optional<ShareAsk>;
[[nodiscard]] auto decodeShareGrant(std::string_view text, Error& reason) -> std::optional<ShareGrant>;

} // namespace coriandergate::share
