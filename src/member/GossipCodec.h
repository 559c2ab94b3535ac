// Gossip messages as CBOR, by nlohmann::json. Arrays instead of named fields keep a datagram small.
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

// encodeGossip() is the CBOR form of `message`. Safe from any thread.
[[nodiscard]] auto encodeGossip(const GossipMessage& message) -> std::vector<std::uint8_t>;

// decodeGossip() reads what encodeGossip() wrote; nothing with a reason for anything else, whatever its bytes. Safe
// from any thread.
[[nodiscard]] auto decodeGossip(std::span<const std::uint8_t> bytes, Error& reason) -> std::optional<GossipMessage>;

// estimatedEncodedBytes() is an upper estimate of the bytes that `update` adds to a message. Safe from any thread.
[[nodiscard]] auto estimatedEncodedBytes(const MemberUpdate& update) -> std::size_t;

} // namespace coriandergate::member
