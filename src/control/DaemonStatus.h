// What one daemon said about the configuration that it has in force.
#pragma once

#include "config/ConfigurationHead.h"

#include <optional>
#include <string>

namespace coriandergate::control {

// DaemonStatus is a value. Without a head, the daemon did not answer, and nothing is known of it.
struct DaemonStatus {
    std::string address;
    std::optional<config::ConfigurationHead> head;
};

} // namespace coriandergate::control
