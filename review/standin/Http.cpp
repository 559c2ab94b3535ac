#include "Http.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

    auto isSame(std::string_view left, std::string_view right) -> bool
    {
        return std::equal(left.begin(), left.end(), right.begin(), right.end(),
            [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
    }

    auto parseAddress(const std::string& address) -> sockaddr_in
    {
        sockaddr_in result {};
        const auto colon = address.rfind(':');
        result.sin_family = AF_INET;
        result.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
        inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
        return result;
    }

    auto openListener(const std::string& address) -> int
    {
        const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const auto endpoint = parseAddress(address);
        if (::bind(descriptor, reinterpret_cast<const sockaddr*>(&endpoint), sizeof endpoint) != 0
            || ::listen(descriptor, 512) != 0) {
            ::close(descriptor);
            return -1;
        }
        return descriptor;
    }

    auto waitFor(int descriptor, short events, int timeoutMs) -> bool
    {
        pollfd entry { descriptor, events, 0 };
        return ::poll(&entry, 1, timeoutMs) > 0;
    }

    auto serialize(std::string head, const std::vector<std::pair<std::string, std::string>>& headers,
        std::string_view body) -> std::string
    {
        head += "\r\n";
        for (const auto& [name, value] : headers)
            head += name + ": " + value + "\r\n";
        head += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
        head += body;
        return head;
    }

} // namespace

auto Message::header(std::string_view name) const -> std::optional<std::string>
{
    for (const auto& [key, value] : headers) {
        if (isSame(key, name))
            return value;
    }
    return std::nullopt;
}

auto Message::word(std::size_t index) const -> std::string
{
    std::string_view rest = startLine;
    for (; index > 0; --index)
        rest = rest.substr(std::min(rest.size(), rest.find(' ')) + (rest.find(' ') == std::string_view::npos ? 0 : 1));
    return std::string(rest.substr(0, rest.find(' ')));
}

auto Message::status() const -> int
{
    const auto text = word(1);
    return text.empty() ? 0 : std::atoi(text.c_str());
}

Socket::~Socket() { ::close(m_descriptor); }

auto Socket::fill(int timeoutMs) -> bool
{
    if (!waitFor(m_descriptor, POLLIN, timeoutMs))
        return false;
    char bytes[65536];
    const auto count = ::recv(m_descriptor, bytes, sizeof bytes, 0);
    if (count <= 0)
        return false;
    m_buffer.append(bytes, static_cast<std::size_t>(count));
    return true;
}

auto Socket::readMessage(int timeoutMs) -> std::optional<Message>
{
    using std::chrono::steady_clock;
    const auto end = steady_clock::now() + std::chrono::milliseconds(timeoutMs);
    const auto left = [&end] {
        return std::max<int>(0,
            static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(end - steady_clock::now()).count()));
    };
    std::size_t headEnd = 0;
    while ((headEnd = m_buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!fill(left()))
            return std::nullopt;
    }
    Message message;
    std::string_view head(m_buffer.data(), headEnd);
    message.startLine = head.substr(0, head.find("\r\n"));
    auto position = head.find("\r\n");
    while (position != std::string_view::npos) {
        const auto next = head.find("\r\n", position + 2);
        const auto line = head.substr(position + 2, next == std::string_view::npos ? next : next - position - 2);
        const auto colon = line.find(':');
        if (colon != std::string_view::npos) {
            auto value = line.substr(colon + 1);
            value.remove_prefix(std::min(value.size(), value.find_first_not_of(' ')));
            message.headers.emplace_back(line.substr(0, colon), value);
        }
        position = next;
    }
    m_buffer.erase(0, headEnd + 4);
    const auto length = message.header("Content-Length");
    const auto size = length ? static_cast<std::size_t>(std::stoull(*length)) : 0;
    while (m_buffer.size() < size) {
        if (!fill(left()))
            return std::nullopt;
    }
    message.body = m_buffer.substr(0, size);
    m_buffer.erase(0, size);
    return message;
}

auto Socket::write(std::string_view bytes) -> bool
{
    while (!bytes.empty()) {
        const auto count = ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
}

auto Socket::isPeerGone() const -> bool
{
    char byte = 0;
    const auto count = ::recv(m_descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

auto Socket::reset() -> void
{
    const linger option { 1, 0 };
    ::setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &option, sizeof option);
    // The descriptor stays reserved until its reader is done; connecting it to nothing sends the reset.
    sockaddr none {};
    none.sa_family = AF_UNSPEC;
    ::connect(m_descriptor, &none, sizeof none);
}

auto Socket::shutdown() -> void { ::shutdown(m_descriptor, SHUT_RDWR); }

auto connectTo(const std::string& address, int timeoutMs) -> std::shared_ptr<Socket>
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto socket = std::make_shared<Socket>(descriptor);
    const timeval timeout { timeoutMs / 1000, (timeoutMs % 1000) * 1000 };
    ::setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const auto endpoint = parseAddress(address);
    if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&endpoint), sizeof endpoint) != 0)
        return nullptr;
    const timeval longer { 10, 0 };
    ::setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &longer, sizeof longer);
    return socket;
}

Listener::Listener(std::string address, Handler handler)
    : m_address(std::move(address))
    , m_handler(std::move(handler))
{
}

Listener::~Listener() { crash(); }

auto Listener::open() -> bool
{
    const std::lock_guard lock(m_mutex);
    m_descriptor = openListener(m_address);
    if (m_descriptor < 0)
        return false;
    std::thread([this, descriptor = m_descriptor] { accept(descriptor); }).detach();
    return true;
}

auto Listener::accept(int descriptor) -> void
{
    while (true) {
        const int accepted = ::accept4(descriptor, nullptr, nullptr, SOCK_CLOEXEC);
        const std::lock_guard lock(m_mutex);
        if (descriptor != m_descriptor) {
            if (accepted >= 0)
                ::close(accepted);
            ::close(descriptor);
            return;
        }
        if (accepted < 0)
            continue;
        const int on = 1;
        ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        auto socket = std::make_shared<Socket>(accepted);
        m_sockets.insert(socket);
        std::thread([this, socket] {
            m_handler(socket);
            socket->shutdown();
            const std::lock_guard erasing(m_mutex);
            m_sockets.erase(socket);
        }).detach();
    }
}

auto Listener::crash() -> void
{
    const std::lock_guard lock(m_mutex);
    if (m_descriptor < 0)
        return;
    ::shutdown(std::exchange(m_descriptor, -1), SHUT_RDWR);
    for (const auto& socket : m_sockets)
        socket->reset();
    m_sockets.clear();
}

auto makeResponse(int status, const std::vector<std::pair<std::string, std::string>>& headers, std::string_view body)
    -> std::string
{
    return serialize("HTTP/1.1 " + std::to_string(status) + " Status", headers, body);
}

auto makeRequest(std::string_view method, std::string_view path,
    const std::vector<std::pair<std::string, std::string>>& headers, std::string_view body) -> std::string
{
    return serialize(std::string(method) + " " + std::string(path) + " HTTP/1.1", headers, body);
}

auto queryValue(std::string_view target, std::string_view name) -> std::string
{
    const auto query = target.find('?');
    auto rest = query == std::string_view::npos ? std::string_view {} : target.substr(query + 1);
    while (!rest.empty()) {
        const auto item = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), item.size() + 1));
        const auto equals = item.find('=');
        if (equals == std::string_view::npos || item.substr(0, equals) != name)
            continue;
        std::string value;
        for (auto i = equals + 1; i < item.size(); ++i) {
            if (item[i] != '%' || i + 2 >= item.size() + 0) {
                value += item[i];
                continue;
            }
            value += static_cast<char>(std::stoi(std::string(item.substr(i + 1, 2)), nullptr, 16));
            i += 2;
        }
        return value;
    }
    return {};
}

auto isPortFree(const std::string& address) -> bool
{
    const int descriptor = openListener(address);
    if (descriptor < 0)
        return false;
    ::close(descriptor);
    return true;
}

} // namespace review
