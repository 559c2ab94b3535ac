// Names a once-only request by its client account and Idempotency-Key.
//
//   const auto key = makeIdempotencyKey("account-7", request.header("Idempotency-Key"));
//   const auto seat = seatOf(key, seatCount);       // the holder of this seat keeps the ledger for it
//   const auto print = fingerprintOf("POST", "/dispatches", body);
//
// The name is a cryptographic digest, so that no account can pick a key that collides with another account's.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace coriandergate::once {

// IdempotencyKey is a 128-bit digest (BLAKE2b).
struct IdempotencyKey {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    // clang-tidy takes the zero of a rewritten comparison for a null pointer. NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const IdempotencyKey&, const IdempotencyKey&) -> std::strong_ordering = default;
};

// IdempotencyKeyHash lets a IdempotencyKey be the key of an unordered map; a digest is a hash already.
struct IdempotencyKeyHash {
    auto operator()(const IdempotencyKey& key) const -> std::size_t { return static_cast<std::size_t>(key.low); }
};

// makeIdempotencyKey() digests both texts with their border, so that ("ab", "c") and ("a", "bc") differ. Safe from any
// thread.
[[nodiscard]] auto makeIdempotencyKey(std::string_view clientAccount, std::string_view idempotencyKey)
    -> IdempotencyKey;

// seatOf() is the seat, 0 to `seatCount` - 1, whose holder decides about `key`. Safe from any thread.
[[nodiscard]] auto seatOf(const IdempotencyKey& key, unsigned seatCount) -> unsigned;

// fingerprintOf() tells two requests under the same key apart by method, path with query, and body. Safe from any
// thread.
[[nodiscard]] auto fingerprintOf(std::string_view method, std::string_view target, std::string_view body)
    -> std::uint64_t;

} // namespace coriandergate::once
