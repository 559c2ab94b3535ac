#include "base/Hash.h"

#include <xxhash.h>

namespace coriandergate {

auto hashOf(std::string_view bytes, std::uint64_t seed) -> std::uint64_t
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

} // namespace coriandergate
