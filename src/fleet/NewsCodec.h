// What daemons pass on of the store's tables, in CBOR.
//
//   const auto request = encodeNewsAsk({ "hosts", 17, 2s });
//   Error reason;
//   if (const auto answer = decodeNews(body, reason)) ...
#pragma once

#include "fleet/StoreClient.h"

#include <optional>
#include <string>
#include <string_view>

namespace coriandergate::fleet {

// The path at which a relay is asked for news.
inline constexpr std::string_view newsPath = "/news";

// NewsAsk asks for what changed in a table since a version.
struct NewsAsk {
    std::string table;
    std::uint64_t after = 0;
    std::chrono::milliseconds wait { 0 };
};

// encodeNewsAsk() is a whole HTTP request, encodeNews() the body of its answer. Safe from any thread.
[[nodiscard]] auto encodeNewsAsk(const NewsAsk& ask) -> std::string;
[[nodiscard]] auto encodeNews(const StoreResponse& answer) -> std::string;

// The decoders read the bodies; nothing, with a reason, when they can't be read. Safe from any thread.
[[nodiscard]] auto decodeNewsAsk(const std::string& body, Error& reason) -> std::optional<NewsAsk>;
[[nodiscard]] auto decodeNews(const std::string& body, Error& reason) -> std::optional<StoreResponse>;

} // namespace coriandergate::fleet
