#include "config/KeyDigest.h"

#include <array>
#include <sodium.h>

namespace coriandergate::config {

auto digestOfKey(std::string_view key) -> std::string
{
    constexpr std::size_t digestBytes = crypto_generichash_BYTES;
    std::array<unsigned char, digestBytes> digest {};
    crypto_generichash(
        digest.data(), digest.size(), reinterpret_cast<const unsigned char*>(key.data()), key.size(), nullptr, 0);
    std::string text(digestBytes * 2 + 1, '\0');
    sodium_bin2hex(text.data(), text.size(), digest.data(), digest.size());
    text.pop_back();
    return text;
}

auto areDigestsEqual(std::string_view left, std::string_view right) -> bool
{
    return left.size() == right.size() && sodium_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace coriandergate::config
