// What the connections of one HttpServer share.
#pragma once

#include "net/HttpServer.h"

#include <set>

namespace coriandergate::net::internal {

class HttpServerConnection;

struct HttpServerState {
    HttpServer::Options options;
    HttpServer::Handler handler;
    HttpServer::ConnectionClosed connectionClosed;
    std::set<std::shared_ptr<HttpServerConnection>> connections;
    std::size_t openRequests = 0;
    std::size_t bufferedBytes = 0;
    std::uint64_t nextConnection = 0;
    bool isDraining = false;
};

} // namespace coriandergate::net::internal
