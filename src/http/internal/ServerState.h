// What the connections of one server share.
#pragma once

#include "http/Server.h"

#include <atomic>
#include <cstddef>

namespace coriandergate::http::internal {

// ServerState is shared by the listener and the connections on all workers; its fields are atomic or constant.
struct ServerState {
    Server::Options options;
    Server::Handler handler;
    std::atomic<bool> isDraining = false;
    std::atomic<std::size_t> connections = 0;
    std::atomic<std::size_t> busyConnections = 0;
    std::atomic<std::size_t> bufferedBytes = 0;
};

} // namespace coriandergate::http::internal
