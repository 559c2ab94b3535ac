// Free TCP ports on loopback, for tests that start real processes.
//
//   const auto port = freeLoopbackPort();
#pragma once

#include <cstdint>

namespace coriandergate::testing {

// freeLoopbackPort() is a TCP port of 127.0.0.1 that was free a moment ago; 0 when there is none. Safe from any thread.
[[nodiscard]] auto freeLoopbackPort() -> std::uint16_t;

} // namespace coriandergate::testing
