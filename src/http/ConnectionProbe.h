// Finds out whether anything listens at an address.
//
//   probeConnection("127.0.0.1:9001", 200ms, [](bool isRefused) { ... });
#pragma once

#include <chrono>
#include <functional>
#include <string>

namespace coriandergate::http {

// probeConnection() opens a connection to `peer`, closes it again and calls `done` once, later, on this thread, which
// needs an event loop. `isRefused` is true only when the peer's host answered that nothing listens there.
auto probeConnection(
    const std::string& peer, std::chrono::milliseconds timeout, std::function<void(bool isRefused)> done) -> void;

} // namespace coriandergate::http
