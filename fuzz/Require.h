// Ends a fuzz target when something that must hold for any input doesn't, so that the fuzzer reports the input.
//
//   require(decoded == message);
#pragma once

#include <cstdlib>

namespace coriandergate::fuzz {

// require() aborts the process unless `isTrue`.
inline auto require(bool isTrue) -> void
{
    if (!isTrue)
        std::abort();
}

} // namespace coriandergate::fuzz
