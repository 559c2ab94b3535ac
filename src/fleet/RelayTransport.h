// Interface that carries watch requests from a daemon to its relays, which are other daemons.
//
// Implemented by HttpRelayTransport for daemons and by testing::FleetSimulation.
//
//   transport.watch("10.1.0.12:7780", { "hosts", 17, 2s }, 2300ms, [](RelayTransport::Result result) { ... });
#pragma once

#include "base/Error.h"
#include "fleet/RelayWatchCodec.h"
#include "fleet/StoreClient.h"

#include <chrono>
#include <functional>
#include <string>
#include <variant>

namespace coriandergate::fleet {

// RelayTransport is used on one thread.
class RelayTransport {
public:
    using Result = std::variant<StoreResponse, Error>;
    using Callback = std::function<void(Result)>;

    RelayTransport() = default;
    RelayTransport(const RelayTransport&) = delete;
    auto operator=(const RelayTransport&) -> RelayTransport& = delete;
    virtual ~RelayTransport() = default;

    // watch() sends `request` to the daemon at `address` and calls `done` once, later: with the response, or with the
    // reason why none came within `timeout`. A snapshot may take longer while its bytes keep arriving. Of the response
    // only the rows, the version and the store's time are set.
    virtual auto watch(const std::string& address, const RelayWatchRequest& request, std::chrono::milliseconds timeout,
        Callback done) -> void
        = 0;
};

} // namespace coriandergate::fleet
