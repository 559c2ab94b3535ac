#include "once/IdempotencyKey.h"

#include <array>
#include <initializer_list>
#include <sodium.h>

namespace coriandergate::once {

namespace {

    // Digests the length of each part before the part itself, so that the same bytes divided otherwise give another
    // digest.
    auto digestOf(std::initializer_list<std::string_view> parts) -> IdempotencyKey
    {
        crypto_generichash_state state;
        std::array<std::uint64_t, 2> digest {};
        crypto_generichash_init(&state, nullptr, 0, sizeof(digest));
        for (const auto part : parts) {
            const std::uint64_t length = part.size();
            crypto_generichash_update(&state, reinterpret_cast<const unsigned char*>(&length), sizeof(length));
            crypto_generichash_update(&state, reinterpret_cast<const unsigned char*>(part.data()), part.size());
        }
        crypto_generichash_final(&state, reinterpret_cast<unsigned char*>(digest.data()), sizeof(digest));
        return { digest[0], digest[1] };
    }

} // namespace

auto makeIdempotencyKey(std::string_view clientAccount, std::string_view idempotencyKey) -> IdempotencyKey
{
    return digestOf({ clientAccount, idempotencyKey });
}

auto seatOf(const IdempotencyKey& key, unsigned seatCount) -> unsigned
{
    return static_cast<unsigned>(key.high % seatCount);
}

auto fingerprintOf(std::string_view method, std::string_view requestTarget, std::string_view body) -> std::uint64_t
{
    return digestOf({ method, requestTarget, body }).low;
}

} // namespace coriandergate::once
