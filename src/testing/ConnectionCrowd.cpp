#include "testing/ConnectionCrowd.h"

#include "base/Clock.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string_view>
#include <sys/socket.h>
#include <unistd.h>

namespace coriandergate::testing {

namespace {

    constexpr std::size_t blockBytes = 64 * 1024; // what a connection sends before the next one's turn
    constexpr std::chrono::milliseconds blockedTimeout { 2000 }; // then a receiver has stopped reading for good
    constexpr std::chrono::milliseconds pollPeriod { 10 };

    auto connectTo(const std::string& address) -> int
    {
        const auto colon = address.rfind(':');
        sockaddr_in peer {};
        peer.sin_family = AF_INET;
        peer.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
        ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &peer.sin_addr);
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        if (socket < 0)
            return -1;
        const int isOn = 1; // each piece travels alone
        ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &isOn, sizeof isOn);
        const auto result = ::connect(socket, reinterpret_cast<const sockaddr*>(&peer), sizeof peer);
        if (result == 0 || errno == EINPROGRESS)
            return socket;
        ::close(socket);
        return -1;
    }

} // namespace

class ConnectionCrowd::Connection {
public:
    Connection(const std::string& address, Script script)
        : m_socket(connectTo(address))
        , m_script(std::move(script))
        , m_lastSent(monotonicNow())
    {
        // Whole blocks are cut out of several copies of the repeated part.
        const auto period = m_script.repeated.size();
        while (period > 0 && m_script.repeated.size() < blockBytes + period)
            m_script.repeated += m_script.repeated.substr(0, period);
        m_period = period;
    }
    ~Connection() { close(); }
    Connection(const Connection&) = delete;
    auto operator=(const Connection&) -> Connection& = delete;

    [[nodiscard]] auto bytesSent() const -> std::size_t { return m_sent; }

    [[nodiscard]] auto isDone(MonotonicTime now) const -> bool
    {
        const auto total = m_script.opening.size() + (m_period > 0 ? m_script.repeatedBytes : 0);
        return m_socket < 0 || m_sent >= total || now >= m_lastSent + blockedTimeout;
    }

    // Returns whether anything was sent.
    auto step(MonotonicTime now) -> bool
    {
        if (m_script.readsResponses)
            drain();
        if (isDone(now))
            return false;
        const auto block = nextBlock();
        const auto count = ::send(m_socket, block.data(), block.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (count > 0) {
            m_sent += static_cast<std::size_t>(count);
            m_lastSent = now;
            return true;
        }
        if (errno != EAGAIN && errno != EINPROGRESS && errno != ENOTCONN)
            close();
        return false;
    }

private:
    auto nextBlock() const -> std::string_view
    {
        const auto limit = m_script.pieceBytes > 0 ? m_script.pieceBytes : blockBytes;
        const std::string_view opening = m_script.opening;
        if (m_sent < opening.size())
            return opening.substr(m_sent, limit);
        const auto position = m_sent - opening.size();
        const auto rest = m_script.repeatedBytes - position;
        return std::string_view(m_script.repeated).substr(position % m_period, std::min({ limit, rest, blockBytes }));
    }

    auto drain() -> void
    {
        std::array<char, blockBytes> dropped;
        while (m_socket >= 0) {
            const auto count = ::recv(m_socket, dropped.data(), dropped.size(), MSG_DONTWAIT);
            if (count > 0)
                continue;
            if (count == 0 || (errno != EAGAIN && errno != ENOTCONN))
                close();
            return;
        }
    }

    auto close() -> void
    {
        if (m_socket >= 0)
            ::close(m_socket);
        m_socket = -1;
    }

    int m_socket;
    Script m_script;
    std::size_t m_period = 0;
    std::size_t m_sent = 0;
    MonotonicTime m_lastSent;
};

ConnectionCrowd::ConnectionCrowd() = default;
ConnectionCrowd::~ConnectionCrowd() = default;

auto ConnectionCrowd::open(const std::string& address, std::size_t count, const Script& script) -> void
{
    for (std::size_t i = 0; i < count; ++i)
        m_connections.push_back(std::make_unique<Connection>(address, script));
}

auto ConnectionCrowd::send(std::chrono::milliseconds timeout) -> void
{
    const auto end = monotonicNow() + timeout;
    for (auto now = monotonicNow(); now < end; now = monotonicNow()) {
        bool hasSent = false;
        bool isDone = true;
        for (const auto& connection : m_connections) {
            hasSent = connection->step(now) || hasSent;
            isDone = isDone && connection->isDone(now);
        }
        if (isDone)
            return;
        if (!hasSent)
            ::poll(nullptr, 0, static_cast<int>(pollPeriod.count()));
    }
}

auto ConnectionCrowd::bytesSent() const -> std::size_t
{
    std::size_t sum = 0;
    for (const auto& connection : m_connections)
        sum += connection->bytesSent();
    return sum;
}

} // namespace coriandergate::testing
