// An HTTP/1.1 server on Qt's sockets and Boost.Beast's parser.
//
// Connections are spread over the workers; each answers its requests one by one in the order in which they came, also
// when they were pipelined. A caller that leaves costs nothing but its own request. Slow senders are timed out. Clients
// that hold much without progress give way when all together hold more than the options allow.
//
//   Server server(workers, { .address = "127.0.0.1", .port = 7100 }, [](std::shared_ptr<Exchange> exchange) {
//       exchange->answer(makeAnswer(200, "text/plain", "hello\n"));
//   });
//   if (!server.listen(reason)) ...
#pragma once

#include "base/Error.h"

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace coriandergate::http {

class Exchange;
class WorkerPool;

class Server {
public:
    struct Options {
        std::string address = "127.0.0.1";
        std::uint16_t port = 0; // 0: any free port
        std::size_t maximumConnections = 8192;
        std::size_t maximumHeaderBytes = 16 * 1024;
        std::size_t maximumBodyBytes = 8 * 1024 * 1024;
        // Of requests and of responses that clients don't take, over all connections; small requests may take a quarter
        // more (dispatch/ConnectionBudget.h).
        std::size_t maximumBufferedBytes = 256 * 1024 * 1024;
        std::chrono::milliseconds idleTimeout { 60000 };
        std::chrono::milliseconds headerTimeout { 10000 }; // from the first byte to the end of the header block
        std::chrono::milliseconds bodyTimeout { 30000 }; // from the end of the header block to the end of the body
        std::chrono::milliseconds writeTimeout { 30000 }; // for a caller to take its answer
    };
    // ReleaseCounters count what was ended to stay within the options, since the start.
    struct ReleaseCounters {
        std::uint64_t requests = 0; // refused before they had arrived whole
        std::uint64_t unreadResponses = 0; // connections closed whose clients didn't read
        std::uint64_t idleConnections = 0; // closed for newer ones
    };
    using Handler = std::function<void(std::shared_ptr<Exchange>)>;

    // Server() keeps a reference to `workers`, which must live longer. `handler` runs on the workers.
    Server(WorkerPool& workers, const Options& options, Handler handler);

    // The destructor closes the listener and every connection. On the thread that called listen().
    ~Server();

    Server(const Server&) = delete;
    auto operator=(const Server&) -> Server& = delete;

    // listen() starts to accept on the calling thread, which needs an event loop.
    [[nodiscard]] auto listen(Error& reason) -> bool;

    // port() is the port in use once listen() has succeeded.
    [[nodiscard]] auto port() const -> std::uint16_t;

    // beginDrain() makes every answer from now on say "Connection: close". New connections and requests are still
    // served, so that a caller whose request is on its way is not cut. Safe from any thread.
    auto beginDrain() -> void;

    // finishDrain() stops accepting and closes the connections that are idle, now or after their answer. On the thread
    // that called listen().
    auto finishDrain() -> void;

    // connections() is the number of open connections, busyConnections() that of those with a request under way. Safe
    // from any thread.
    [[nodiscard]] auto connections() const -> std::size_t;
    [[nodiscard]] auto busyConnections() const -> std::size_t;

    // released() is safe from any thread.
    [[nodiscard]] auto released() const -> ReleaseCounters;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace coriandergate::http
