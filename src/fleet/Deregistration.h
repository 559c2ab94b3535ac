// The message by which a target deregisters from its host's daemon before it shuts down.
//
//   const Deregistration message { .id = "i-7", .startedAt = 1700000000000 };
#pragma once

#include <cstdint>
#include <string>

namespace coriandergate::fleet {

// Deregistration is a value. The target keeps serving open requests for a while after sending it.
struct Deregistration {
    std::string id;
    std::uint64_t startedAt = 0; // milliseconds since 1970; 0 if the message doesn't contain it
};

} // namespace coriandergate::fleet
