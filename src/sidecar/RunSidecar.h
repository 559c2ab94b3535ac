// The sidecar program except for main(), which passes in the platform-specific functions.
//
//   auto main(int argc, char** argv) -> int { return sidecar::runSidecar(argc, argv, platformPort()); }
#pragma once

#include "sidecar/Adapter.h"
#include "sidecar/HostSettings.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace coriandergate {
struct Error;
}

namespace coriandergate::fleet {
class StoreClient;
}

namespace coriandergate::sidecar {

// PlatformBindings holds the platform-specific functions that the program uses.
struct PlatformBindings {
    Adapter adapter;
    std::string settingsVariable; // the environment variable that names the settings file
    std::function<std::optional<HostSettings>(const std::string& path, std::vector<Error>& faults)> readSettings;
    std::function<std::unique_ptr<fleet::StoreClient>(boost::asio::io_context& io, const std::string& address)>
        makeStore;
};

// runSidecar() reads the settings and serves until SIGTERM or SIGINT. It returns the exit status: 0 after a graceful
// shutdown, 1 if the start failed, 2 for invalid settings or arguments.
[[nodiscard]] auto runSidecar(int argc, char** argv, const PlatformBindings& platform) -> int;

} // namespace coriandergate::sidecar
