// Asks every live daemon which configuration it has in force.
//
//   checkFleet(client, peers, std::chrono::seconds(1), [](std::vector<DaemonStatus> daemons) { ... });
#pragma once

#include "config/KeeperPeer.h"
#include "control/DaemonStatus.h"

#include <chrono>
#include <functional>
#include <vector>

namespace coriandergate::http {
class Client;
}

namespace coriandergate::control {

// checkFleet() asks all of `peers`, a bounded number at a time, and calls `done` once with an entry for each, those
// that did not answer within `timeout` included. On the client's thread, which `client` must outlive the call back on.
auto checkFleet(http::Client& client, std::vector<config::KeeperPeer> peers, std::chrono::milliseconds timeout,
    std::function<void(std::vector<DaemonStatus>)> done) -> void;

} // namespace coriandergate::control
