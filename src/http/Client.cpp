#include "http/Client.h"

#include "http/internal/ClientConnection.h"

#include <QPointer>
#include <unordered_map>
#include <vector>

namespace coriandergate::http {

using internal::ClientConnection;

struct Client::State {
    Options options;
    Call nextCall = 1;
    std::unordered_map<Call, ClientConnection*> calls;
    std::unordered_map<std::string, std::vector<ClientConnection*>> idle;
    std::unordered_map<ClientConnection*, std::unique_ptr<ClientConnection>> all;

    auto takeIdle(const std::string& peer) -> ClientConnection*;
    auto open(const std::string& peer) -> ClientConnection*;
    auto keep(ClientConnection* connection) -> void;
    auto forget(ClientConnection* connection) -> void;
};

auto Client::State::takeIdle(const std::string& peer) -> ClientConnection*
{
    const auto found = idle.find(peer);
    while (found != idle.end() && !found->second.empty()) {
        auto* connection = found->second.back();
        found->second.pop_back();
        if (connection->isUsable())
            return connection;
    }
    return nullptr;
}

auto Client::State::open(const std::string& peer) -> ClientConnection*
{
    auto owned = std::make_unique<ClientConnection>(peer, options);
    auto* connection = owned.get();
    connection->onIdle([this, connection] { keep(connection); });
    connection->onClosed([this, connection] { forget(connection); });
    all.emplace(connection, std::move(owned));
    return connection;
}

auto Client::State::keep(ClientConnection* connection) -> void
{
    auto& list = idle[connection->peer()];
    if (list.size() >= options.maximumIdlePerPeer) {
        connection->abandon();
        return;
    }
    list.push_back(connection);
}

auto Client::State::forget(ClientConnection* connection) -> void
{
    if (const auto found = idle.find(connection->peer()); found != idle.end()) {
        std::erase(found->second, connection);
        if (found->second.empty())
            idle.erase(found);
    }
    const auto owned = all.find(connection);
    if (owned == all.end())
        return;
    // It may be on the call stack.
    owned->second.release()->deleteLater();
    all.erase(owned);
}

Client::Client(const Options& options)
    : m_state(std::make_unique<State>())
{
    m_state->options = options;
}

Client::~Client()
{
    while (!m_state->all.empty())
        m_state->all.begin()->first->abandon();
}

auto Client::send(const std::string& peer, const Request& request, const SendOptions& options, Callback callback)
    -> Call
{
    const auto call = m_state->nextCall++;
    auto* connection = options.needsFreshConnection ? nullptr : m_state->takeIdle(peer);
    if (!connection)
        connection = m_state->open(peer);
    m_state->calls.emplace(call, connection);
    auto done = [state = m_state.get(), call, callback = std::move(callback)](ExchangeResult result) -> void {
        state->calls.erase(call);
        callback(std::move(result));
    };
    connection->start(request, options, std::move(done));
    return call;
}

auto Client::cancel(Call call) -> void
{
    const auto found = m_state->calls.find(call);
    if (found == m_state->calls.end())
        return;
    auto* connection = found->second;
    m_state->calls.erase(found);
    connection->abandon();
}

auto Client::idleConnections() const -> std::size_t
{
    std::size_t count = 0;
    for (const auto& [peer, connections] : m_state->idle)
        count += connections.size();
    return count;
}

} // namespace coriandergate::http
