// Encodes and decodes gossip messages as CBOR. Fields are positional in arrays rather than named, to keep datagrams
// small.
//
//   const auto bytes = encodeGossip(message);
//   Error reason;
//   if (auto received = decodeGossip(bytes, reason)) ...
#pragma once

#include "member/GossipMessage.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace coriandergate {
struct Error;
}

namespace coriandergate::member {

// encodeGossip() returns `message` encoded as CBOR. Thread-safe.
[[nodiscard]] auto encodeGossip(const GossipMessage& message) -> std::vector<std::uint8_t>;

// decodeGossip() decodes the output of encodeGossip(). For any other input, including arbitrary bytes, it returns
// std::nullopt and sets `reason`. Thread-safe.
[[nodiscard]] auto decodeGossip(std::span<const std::uint8_t> bytes, Error& reason) -> std::optional<GossipMessage>;

// estimatedEncodedBytes() estimates, on the high side, the number of bytes that `update` adds to a message.
// Thread-safe.
[[nodiscard]] auto estimatedEncodedBytes(const MemberUpdate& update) -> std::size_t;

} // namespace coriandergate::member
