// Decides which connections give way when peers that nobody controls take more memory or descriptors than their server
// may use.
//
// Load pattern: many clients send requests of legal size that never end, or don't read their responses, or say nothing,
// while ordinary clients send small requests beside them.
//
// Above the limit the connection gives way that has held the most bytes for the longest time without progress, not the
// one that comes last. Progress is a request that has arrived whole, or bytes of a response that the client has taken;
// the bytes of an unfinished request are none. A quarter more than the limit is kept for small requests: up to there a
// connection that holds few bytes doesn't give way. When no further connection fits, an idle one does: first those that
// have never sent a whole request, then the one that has been idle for the longest time.
//
// Requests that are being handled can't give way, as they may run. As what arrives gives way first, all
// together stay within the limit and that quarter.
//
//   ConnectionBudget budget({ .maximumBytes = 16 << 20, .maximumConnections = 512 });
//   budget.open(7, now);
//   budget.set(7, { .arriving = 1 << 20 }, now);
//   while (const auto id = budget.selectForBytes(now))
//       refuse(*id); // after which set() or close() is called for it
#pragma once

#include "base/Clock.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace coriandergate::dispatch {

// ConnectionBudget is used by one thread, or under its owner's lock.
class ConnectionBudget {
public:
    using ConnectionId = std::uint64_t;

    struct Options {
        std::size_t maximumBytes = 64 * 1024 * 1024;
        std::size_t maximumConnections = 2048;
        std::size_t smallBytes = 48 * 1024; // a head and a trailer of 16 KB each, and a small body
    };

    // Usage is what one connection holds, in bytes.
    struct Usage {
        std::size_t arriving = 0; // of requests that have not arrived whole
        std::size_t handled = 0; // of requests that wait for their response
        std::size_t unread = 0; // of responses that the client has not taken

        friend auto operator==(const Usage&, const Usage&) -> bool = default;
    };

    explicit ConnectionBudget(const Options& options)
        : m_options(options)
    {
    }

    // setOptions() takes effect with the next decision.
    auto setOptions(const Options& options) -> void { m_options = options; }

    // open() adds a connection; close() removes it, and does nothing if it is unknown.
    auto open(ConnectionId id, MonotonicTime now) -> void;
    auto close(ConnectionId id) -> void;

    // set() replaces what a connection holds. The id must be open.
    auto set(ConnectionId id, const Usage& usage, MonotonicTime now) -> void;

    // recordRequest() says that a request has arrived whole; recordTaken() that the client took bytes of a response.
    auto recordRequest(ConnectionId id, MonotonicTime now) -> void;
    auto recordTaken(ConnectionId id, MonotonicTime now) -> void;

    // beginRelease() says that a selected connection is about to give way on another thread. What it holds is taken as
    // released by the selections until set() or close() says so.
    auto beginRelease(ConnectionId id) -> void;

    // selectForBytes() is the connection whose arriving request or unread responses must be dropped; nothing while the
    // bytes fit, or if only requests that are being handled hold any.
    [[nodiscard]] auto selectForBytes(MonotonicTime now) const -> std::optional<ConnectionId>;

    // selectForConnection() is the idle connection to close for a further one; nothing if none is idle.
    [[nodiscard]] auto selectForConnection() const -> std::optional<ConnectionId>;

    // hasRoomForConnection() says that a further connection may be opened.
    [[nodiscard]] auto hasRoomForConnection() const -> bool
    {
        return m_connections.size() < m_options.maximumConnections;
    }

    // bytes() is what all connections hold.
    [[nodiscard]] auto bytes() const -> std::size_t { return m_bytes; }

    [[nodiscard]] auto connections() const -> std::size_t { return m_connections.size(); }

    // releasing() is how many open connections are about to give way.
    [[nodiscard]] auto releasing() const -> std::size_t { return m_releasing; }

private:
    struct Connection {
        Usage usage;
        MonotonicTime progressAt;
        bool hasSentRequest = false;
        bool isReleasing = false;
    };

    auto remove(Connection& connection) -> void;

    Options m_options;
    std::unordered_map<ConnectionId, Connection> m_connections;
    std::size_t m_bytes = 0;
    std::size_t m_releasingBytes = 0;
    std::size_t m_releasing = 0;
};

} // namespace coriandergate::dispatch
