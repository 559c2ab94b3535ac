#include "net/HttpClient.h"

#include "net/internal/HttpClientConnection.h"

#include <algorithm>
#include <unordered_map>
#include <utility>
#include <vector>

namespace coriandergate::net {

using internal::HttpClientConnection;
using ConnectionPointer = std::shared_ptr<HttpClientConnection>;

struct HttpClient::State : std::enable_shared_from_this<HttpClient::State> {
    // Held is the connection of one call.
    struct Held {
        ConnectionPointer connection;
        bool isKept = false; // the last answer came and the call keeps the connection
    };

    boost::asio::io_context& io;
    Options options;
    std::shared_ptr<internal::AnswerMemory> answerMemory;
    Call nextCall = 1;
    std::uint64_t opened = 0;
    std::unordered_map<Call, Held> calls;
    std::unordered_map<std::string, std::vector<ConnectionPointer>> idle;

    State(boost::asio::io_context& ioContext, const Options& clientOptions)
        : io(ioContext)
        , options(clientOptions)
        , answerMemory(std::make_shared<internal::AnswerMemory>(clientOptions.maximumBufferedBytes))
    {
    }

    auto takeIdle(const std::string& peer, std::chrono::milliseconds maximumIdleAge) -> ConnectionPointer
    {
        const auto found = idle.find(peer);
        const auto now = std::chrono::steady_clock::now();
        while (found != idle.end() && !found->second.empty()) {
            auto connection = std::move(found->second.back());
            found->second.pop_back();
            if (connection->isUsable(maximumIdleAge, now))
                return connection;
            connection->onClosed(nullptr);
            connection->close();
        }
        return nullptr;
    }

    auto open(const std::string& peer) -> ConnectionPointer
    {
        ++opened;
        return std::make_shared<HttpClientConnection>(io, peer, options, answerMemory);
    }

    auto keep(const ConnectionPointer& connection) -> void
    {
        auto& list = idle[connection->peer()];
        if (list.size() >= options.maximumIdlePerPeer) {
            connection->close();
            return;
        }
        list.push_back(connection);
        connection->onClosed([weak = weak_from_this(), raw = connection.get()] {
            if (const auto self = weak.lock())
                self->forget(raw);
        });
    }

    auto forget(HttpClientConnection* connection) -> void
    {
        const auto found = idle.find(connection->peer());
        if (found == idle.end())
            return;
        std::erase_if(found->second, [connection](const auto& other) { return other.get() == connection; });
        if (found->second.empty())
            idle.erase(found);
    }

    auto start(Call call, const ConnectionPointer& connection, std::string bytes, const SendOptions& sendOptions,
        Callback callback) -> void
    {
        connection->onClosed(nullptr);
        connection->start(std::move(bytes), sendOptions,
            [weak = weak_from_this(), call, keepsConnection = sendOptions.keepsConnection,
                callback = std::move(callback)](Result result, bool isReusable) {
                const auto self = weak.lock();
                if (!self)
                    return;
                self->finish(call, isReusable, keepsConnection);
                callback(std::move(result));
            });
    }

    auto finish(Call call, bool isReusable, bool keepsConnection) -> void
    {
        const auto found = calls.find(call);
        if (found == calls.end())
            return;
        if (isReusable && keepsConnection) {
            found->second.isKept = true;
            return;
        }
        const auto connection = found->second.connection;
        calls.erase(found);
        if (isReusable)
            keep(connection);
    }
};

HttpClient::HttpClient(boost::asio::io_context& io, const Options& options)
    : m_state(std::make_shared<State>(io, options))
{
}

HttpClient::~HttpClient()
{
    // close() destroys callbacks, and what they own may cancel calls.
    const auto calls = std::exchange(m_state->calls, {});
    for (const auto& [call, held] : calls)
        held.connection->close();
    const auto idle = std::exchange(m_state->idle, {});
    for (const auto& [peer, connections] : idle) {
        for (const auto& connection : connections)
            connection->close();
    }
}

auto HttpClient::send(const std::string& peer, std::string bytes, const SendOptions& options, Callback callback) -> Call
{
    const auto call = m_state->nextCall++;
    auto connection = m_state->takeIdle(peer, options.maximumIdleAge);
    if (!connection)
        connection = m_state->open(peer);
    m_state->calls.emplace(call, State::Held { connection });
    m_state->start(call, connection, std::move(bytes), options, std::move(callback));
    return call;
}

auto HttpClient::sendNext(Call call, std::string bytes, const SendOptions& options, Callback callback) -> bool
{
    const auto found = m_state->calls.find(call);
    if (found == m_state->calls.end() || !found->second.isKept)
        return false;
    const auto connection = found->second.connection;
    if (!connection->isUsable(options.maximumIdleAge, std::chrono::steady_clock::now())) {
        cancel(call);
        return false;
    }
    found->second.isKept = false;
    m_state->start(call, connection, std::move(bytes), options, std::move(callback));
    return true;
}

auto HttpClient::release(Call call) -> void
{
    const auto found = m_state->calls.find(call);
    if (found == m_state->calls.end() || !found->second.isKept)
        return;
    const auto connection = found->second.connection;
    m_state->calls.erase(found);
    m_state->keep(connection);
}

auto HttpClient::cancel(Call call) -> void
{
    const auto found = m_state->calls.find(call);
    if (found == m_state->calls.end())
        return;
    const auto connection = found->second.connection;
    m_state->calls.erase(found);
    connection->close();
}

auto HttpClient::connectionsOpened() const -> std::uint64_t { return m_state->opened; }

} // namespace coriandergate::net
