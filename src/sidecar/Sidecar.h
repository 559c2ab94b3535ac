// The daemon on each target host. It proxies the requests of the callers on its host, and admits requests of all
// daemons to the target of its host.
//
//   Sidecar sidecar(io, settings, adapter, store);
//   if (!sidecar.start(reason)) ...
//   io.run(); // returns when stop() has completed
#pragma once

#include "sidecar/Adapter.h"
#include "sidecar/HostSettings.h"

#include <boost/asio/io_context.hpp>
#include <memory>

namespace coriandergate {
struct Error;
}

namespace coriandergate::fleet {
class StoreClient;
}

namespace coriandergate::sidecar {

// Sidecar is used on the thread of its io_context.
class Sidecar {
public:
    Sidecar(boost::asio::io_context& io, const HostSettings& settings, Adapter adapter, fleet::StoreClient& store);
    ~Sidecar();
    Sidecar(const Sidecar&) = delete;
    auto operator=(const Sidecar&) -> Sidecar& = delete;

    // start() opens the listening ports. It returns false with a reason if that fails.
    [[nodiscard]] auto start(Error& reason) -> bool;

    // stop() starts a graceful shutdown: it drains open requests, and then stops the io_context.
    auto stop() -> void;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace coriandergate::sidecar
