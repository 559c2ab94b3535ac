// Many raw connections to servers under test that send what an uncontrolled client may send, and stay open.
//
//   ConnectionCrowd crowd;
//   crowd.open("127.0.0.1:7100", 24, { .opening = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n" });
//   crowd.send(std::chrono::seconds(20));
#pragma once

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace coriandergate::testing {

// ConnectionCrowd closes its connections when it is destroyed. Used on the thread that created it.
class ConnectionCrowd {
public:
    // Script is what one connection sends: the opening, then `repeated` over and over, `repeatedBytes` in total.
    struct Script {
        std::string opening;
        std::string repeated;
        std::size_t repeatedBytes = 0;
        std::size_t pieceBytes = 0; // in one write; 0 for as many as the socket takes
        bool readsResponses = true;
    };

    ConnectionCrowd();
    ~ConnectionCrowd();
    ConnectionCrowd(const ConnectionCrowd&) = delete;
    auto operator=(const ConnectionCrowd&) -> ConnectionCrowd& = delete;

    // open() connects `count` times to `address` (IP:port). A connection that is refused counts as ended.
    auto open(const std::string& address, std::size_t count, const Script& script) -> void;

    // send() sends on all connections in turn, until each has sent its script, has ended or has taken nothing for two
    // seconds, or `timeout` has passed. The connections stay open.
    auto send(std::chrono::milliseconds timeout) -> void;

    // bytesSent() is the sum over all connections.
    [[nodiscard]] auto bytesSent() const -> std::size_t;

private:
    class Connection;
    std::vector<std::unique_ptr<Connection>> m_connections;
};

} // namespace coriandergate::testing
