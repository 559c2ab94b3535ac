// What the connections of one HttpServer share.
#pragma once

#include "dispatch/ConnectionBudget.h"
#include "net/HttpServer.h"

#include <array>
#include <unordered_map>

namespace coriandergate::net::internal {

class HttpServerConnection;

struct HttpServerState {
    explicit HttpServerState(const HttpServer::Options& serverOptions);

    // setOptions() replaces the options, also those of the budget.
    auto setOptions(const HttpServer::Options& newOptions) -> void;

    // releaseBytes() ends requests and connections until what they hold fits; releaseConnection() closes an idle
    // connection when there is no room for another one.
    auto releaseBytes(MonotonicTime now) -> void;
    auto releaseConnection(MonotonicTime now) -> void;

    // reportReleases() logs what was released since the last report, once a second at most.
    auto reportReleases(MonotonicTime now) -> void;

    HttpServer::Options options;
    HttpServer::Handler handler;
    HttpServer::ConnectionClosed connectionClosed;
    std::unordered_map<std::uint64_t, std::shared_ptr<HttpServerConnection>> connections; // by number
    dispatch::ConnectionBudget budget;
    HttpServer::ReleaseCounters released;
    MonotonicTime nextReportAt;
    std::array<char, 16384> readBuffer {}; // of the read that is being handled
    std::size_t openRequests = 0;
    std::uint64_t nextConnection = 0;
    bool isDraining = false;
};

} // namespace coriandergate::net::internal
