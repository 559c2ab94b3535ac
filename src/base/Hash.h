// Stable 64-bit hashes, the same on every host and in every version, for placing keys on seats, homes and shards.
//
//   const auto shard = hashOf("account-7") % shardCount;
//   const auto weight = hashOf("account-7", daemonNumber); // rendezvous hashing
#pragma once

#include <cstdint>
#include <string_view>

namespace coriandergate {

// hashOf() is XXH3 (64 bit) of `bytes` with `seed`. Not for secrets. Safe from any thread.
[[nodiscard]] auto hashOf(std::string_view bytes, std::uint64_t seed = 0) -> std::uint64_t;

} // namespace coriandergate
