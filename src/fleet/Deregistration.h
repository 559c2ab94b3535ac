// What a target says when it leaves for good.
#pragma once

#include <cstdint>
#include <string>

namespace coriandergate::fleet {

// Deregistration is a value. The target goes on serving for a while after it.
struct Deregistration {
    std::string id;
    std::uint64_t startedAt = 0; // milliseconds since 1970; 0 when it isn't told
};

} // namespace coriandergate::fleet
