// What the connections of one server share.
#pragma once

#include "base/Clock.h"
#include "base/Mutex.h"
#include "dispatch/ConnectionBudget.h"
#include "http/Server.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace coriandergate::http::internal {

class ServerConnection;

// ServerState is shared by the listener and the connections on all workers. A connection that gives way is told so on
// its own worker.
class ServerState {
public:
    using ConnectionId = dispatch::ConnectionBudget::ConnectionId;
    using Usage = dispatch::ConnectionBudget::Usage;

    ServerState(const Server::Options& serverOptions, Server::Handler serverHandler);

    // open() adds a connection; close() removes it and must come before it is destroyed.
    auto open(ServerConnection& connection, MonotonicTime now) -> ConnectionId;
    auto close(ConnectionId id) -> void;

    // set(), recordRequest() and recordTaken() are those of the budget. set() returns whether the connection itself
    // must give way at once; others are told.
    [[nodiscard]] auto set(ConnectionId id, const Usage& usage, MonotonicTime now) -> bool;
    auto recordRequest(ConnectionId id, MonotonicTime now) -> void;
    auto recordTaken(ConnectionId id, MonotonicTime now) -> void;

    // Room is what there is for one more connection.
    enum class Room {
        Now,
        Soon, // once connections that are about to close, or to be opened, have got their turn on the workers
        None, // every connection is in use
    };

    // makeRoom() tells what room there is; at the limit an idle connection is told to close for the new one.
    [[nodiscard]] auto makeRoom(MonotonicTime now) -> Room;

    [[nodiscard]] auto released() const -> Server::ReleaseCounters;
    auto countRefused() -> void { ++m_refusedRequests; }
    auto countUnread() -> void { ++m_unreadResponses; }

    const Server::Options options;
    const Server::Handler handler;
    std::atomic<bool> isDraining = false;
    std::atomic<std::size_t> connections = 0;
    std::atomic<std::size_t> busyConnections = 0;

private:
    REQUIRES(m_mutex) auto reportReleasesLocked(MonotonicTime now) -> void;

    mutable Mutex m_mutex;
    dispatch::ConnectionBudget m_budget GUARDED_BY(m_mutex);
    std::unordered_map<ConnectionId, ServerConnection*> m_open GUARDED_BY(m_mutex);
    ConnectionId m_nextId GUARDED_BY(m_mutex) = 0;
    MonotonicTime m_nextReportAt GUARDED_BY(m_mutex);
    std::atomic<std::uint64_t> m_refusedRequests = 0;
    std::atomic<std::uint64_t> m_unreadResponses = 0;
    std::atomic<std::uint64_t> m_idleConnections = 0;
};

} // namespace coriandergate::http::internal
