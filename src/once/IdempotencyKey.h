// Identifies an at-most-once request by its client account and its Idempotency-Key header.
//
//   const auto key = makeIdempotencyKey("account-7", request.header("Idempotency-Key"));
//   const auto seat = seatOf(key, seatCount); // the holder of this seat decides whether the request may run
//   const auto fingerprint = fingerprintOf("POST", "/dispatches", body);
//
// The key is a cryptographic digest, so that no account can choose a header that collides with another account's key.
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

// IdempotencyKeyHash hashes an IdempotencyKey for unordered containers. Half of the digest serves as the hash.
struct IdempotencyKeyHash {
    auto operator()(const IdempotencyKey& key) const -> std::size_t { return static_cast<std::size_t>(key.low); }
};

// makeIdempotencyKey() digests both strings together with their lengths, so that ("ab", "c") and ("a", "bc") differ.
// Safe from any thread.
[[nodiscard]] auto makeIdempotencyKey(std::string_view clientAccount, std::string_view idempotencyKey)
    -> IdempotencyKey;

// seatOf() returns the seat of `key`, 0 to `seatCount` - 1. A seat is a partition of the keys; the daemon that holds
// the lease on it decides about all of its keys. Safe from any thread.
[[nodiscard]] auto seatOf(const IdempotencyKey& key, unsigned seatCount) -> unsigned;

// fingerprintOf() digests method, request target (path with query) and body, to detect a key that is reused for another
// request. Safe from any thread.
[[nodiscard]] auto fingerprintOf(std::string_view method, std::string_view requestTarget, std::string_view body)
    -> std::uint64_t;

} // namespace coriandergate::once
