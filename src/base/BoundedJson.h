// Parses JSON and CBOR that other processes wrote, with a bound on nesting.
//
// nlohmann::json reads and copies nested values by recursion, so that a document of a few kilobytes that consists of
// nested arrays alone exhausts the stack and ends the process. Here it is a failure like any other malformed input.
//
//   Error reason;
//   if (const auto value = parseBoundedCbor(body, reason)) ...
#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>

namespace coriandergate {

struct Error;

// Depth of arrays and objects within each other. The formats of this project and of its platform have at most five
// levels; the rest is for fields that later versions may add.
inline constexpr std::size_t maximumJsonDepth = 32;

// parseBoundedJson() and parseBoundedCbor() return the value, or nothing with the reason and an empty step and peer,
// which the caller fills in. Bytes behind the value are malformed input, and so are CBOR's strings of unknown length.
// Thread-safe.
[[nodiscard]] auto parseBoundedJson(std::string_view text, Error& reason) -> std::optional<nlohmann::json>;
[[nodiscard]] auto parseBoundedCbor(std::string_view bytes, Error& reason) -> std::optional<nlohmann::json>;

} // namespace coriandergate
