// The daemon that stands on each target host: entry for the callers of its host, owner of its target.
//
//   Sidecar sidecar(io, settings, adapter, store);
//   if (!sidecar.start(reason)) ...
//   io.run(); // until stop() has ended every request
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

    // start() opens the ports; false with a reason when one can't be opened.
    [[nodiscard]] auto start(Error& reason) -> bool;

    // stop() begins a planned stop: no new work, everything under way to its end, then the io_context is stopped.
    auto stop() -> void;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace coriandergate::sidecar
