// Blocking HTTP/1.1 over loopback sockets, for the stand-ins.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review {

struct Message {
    std::string startLine;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    // header() is the first header of this name, compared without case; nothing if there is none.
    [[nodiscard]] auto header(std::string_view name) const -> std::optional<std::string>;
    // word() is a space-separated word of the start line.
    [[nodiscard]] auto word(std::size_t index) const -> std::string;
    [[nodiscard]] auto status() const -> int;
};

// Socket is one connection. One thread reads; writes may come from several.
class Socket {
public:
    explicit Socket(int descriptor)
        : m_descriptor(descriptor)
    {
    }
    ~Socket();
    Socket(const Socket&) = delete;
    auto operator=(const Socket&) -> Socket& = delete;

    // readMessage() blocks until a message is whole; nothing if the connection ended or `timeoutMs` passed.
    [[nodiscard]] auto readMessage(int timeoutMs) -> std::optional<Message>;
    [[nodiscard]] auto write(std::string_view bytes) -> bool;
    // isPeerGone() says without blocking that the peer has closed or reset the connection.
    [[nodiscard]] auto isPeerGone() const -> bool;
    auto reset() -> void; // ends the connection with a reset
    auto shutdown() -> void;

private:
    auto fill(int timeoutMs) -> bool;

    int m_descriptor;
    std::string m_buffer;
};

// connectTo() opens a connection to "address:port"; null if it isn't made within `timeoutMs`.
[[nodiscard]] auto connectTo(const std::string& address, int timeoutMs) -> std::shared_ptr<Socket>;

// Listener accepts connections, each with a thread of its own.
class Listener {
public:
    using Handler = std::function<void(const std::shared_ptr<Socket>&)>;

    Listener(std::string address, Handler handler);
    ~Listener();
    Listener(const Listener&) = delete;
    auto operator=(const Listener&) -> Listener& = delete;

    // open() listens; false if the address isn't free.
    [[nodiscard]] auto open() -> bool;
    // crash() closes the port and resets every connection, as the end of a process does.
    auto crash() -> void;

private:
    auto accept(int descriptor) -> void;

    std::string m_address;
    Handler m_handler;
    std::mutex m_mutex;
    int m_descriptor = -1;
    std::set<std::shared_ptr<Socket>> m_sockets;
};

[[nodiscard]] auto makeResponse(
    int status, const std::vector<std::pair<std::string, std::string>>& headers, std::string_view body) -> std::string;

[[nodiscard]] auto makeRequest(std::string_view method, std::string_view path,
    const std::vector<std::pair<std::string, std::string>>& headers, std::string_view body) -> std::string;

// queryValue() is the percent-decoded value of `name` in a request target.
[[nodiscard]] auto queryValue(std::string_view target, std::string_view name) -> std::string;

// isPortFree() says whether a listener can be opened on "address:port".
[[nodiscard]] auto isPortFree(const std::string& address) -> bool;

} // namespace review
