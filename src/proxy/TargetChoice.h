// The target that a request goes to, and the daemon beside it.
#pragma once

#include "base/DaemonIdentity.h"
#include "base/Locality.h"

#include <cstdint>
#include <string>

namespace coriandergate::proxy {

// TargetChoice is a value. `ticket` is the chooser's own; s_noTicket marks a choice that it didn't make.
struct TargetChoice {
    static constexpr std::uint64_t s_noTicket = ~std::uint64_t { 0 };

    std::string service;
    std::string target; // IP:port
    DaemonIdentity owner; // the daemon on the target's host; its address takes forwarded requests
    Locality locality;
    std::uint64_t ticket = 0;
};

} // namespace coriandergate::proxy
