#include "proxy/RequestId.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <sodium.h>

namespace coriandergate::proxy {

auto usableRequestId(std::string_view wanted) -> std::string
{
    constexpr std::size_t maximumLength = 64;
    const bool isUsable
        = !wanted.empty() && wanted.size() <= maximumLength && std::all_of(wanted.begin(), wanted.end(), [](char c) {
              return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' || c == '_' || c == '.';
          });
    if (isUsable)
        return std::string(wanted);
    constexpr std::size_t randomBytes = 12;
    std::array<unsigned char, randomBytes> bytes {};
    randombytes_buf(bytes.data(), bytes.size());
    std::string text(randomBytes * 2 + 1, '\0');
    sodium_bin2hex(text.data(), text.size(), bytes.data(), bytes.size());
    text.pop_back();
    return text;
}

} // namespace coriandergate::proxy
