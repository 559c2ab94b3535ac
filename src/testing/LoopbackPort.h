// Free TCP ports on loopback, for tests that start real processes.
//
//   const auto port = freeLoopbackPort();
#pragma once

#include <cstdint>

namespace coriandergate::testing {

// freeLoopbackPort() is a TCP port of 127.0.0.1 that is free now and that neither an outgoing connection nor another
// test process running beside this one is likely to take: it lies below the ephemeral range, in a stretch chosen by the
// number of this process. 0 when there is none. Safe from any thread.
[[nodiscard]] auto freeLoopbackPort() -> std::uint16_t;

} // namespace coriandergate::testing
