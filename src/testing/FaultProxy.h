// Relays TCP connections and datagrams on loopback to one upstream and puts faults on them by command.
//
// The TCP and the UDP port have the same number. Datagrams pass towards the upstream only: daemons answer to the
// address that a message names, not to where it came from. A reset of one side reaches the other as an orderly end,
// since Qt's sockets don't tell the two apart: an answer without a length looks whole behind it.
//
//   FaultProxy proxy({ .upstreamPort = 7101 });
//   Error reason;
//   REQUIRE(proxy.start(reason));
//   proxy.setFault(DropRequestsFault {});
#pragma once

#include "testing/Fault.h"

#include <cstdint>
#include <memory>
#include <string>

namespace coriandergate::testing {

// FaultProxy works in the event loop of the thread that made it and is used from that thread only.
class FaultProxy {
public:
    struct Options {
        std::uint16_t listenPort = 0; // 0: any free one
        std::uint16_t upstreamPort = 0;
        std::string listenAddress = "127.0.0.1"; // IP numbers on loopback
        std::string upstreamAddress = "127.0.0.1";
    };

    explicit FaultProxy(const Options& options);
    ~FaultProxy();

    FaultProxy(const FaultProxy&) = delete;
    auto operator=(const FaultProxy&) -> FaultProxy& = delete;

    // start() listens; false with a reason when the port is taken.
    [[nodiscard]] auto start(Error& reason) -> bool;

    // port() is the port listened on, 0 before start().
    [[nodiscard]] auto port() const -> std::uint16_t;

    // setFault() replaces the fault, for open connections too.
    auto setFault(const Fault& fault) -> void;

    // bytesToUpstream() and bytesToCaller() count the bytes relayed so far.
    [[nodiscard]] auto bytesToUpstream() const -> std::uint64_t;
    [[nodiscard]] auto bytesToCaller() const -> std::uint64_t;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace coriandergate::testing
