#include "http/Server.h"

#include "base/Mutex.h"
#include "http/Exchange.h"
#include "http/WorkerPool.h"
#include "http/internal/ServerConnection.h"
#include "http/internal/ServerState.h"

#include <QHostAddress>
#include <QPointer>
#include <QTcpServer>
#include <QTimer>
#include <algorithm>
#include <utility>
#include <vector>

namespace coriandergate::http {

namespace {

    // Hands each accepted socket to a callback, so that it can be opened on another thread.
    class Listener : public QTcpServer {
    public:
        explicit Listener(std::function<void(qintptr)> accept)
            : m_accept(std::move(accept))
        {
        }

    protected:
        auto incomingConnection(qintptr descriptor) -> void override { m_accept(descriptor); }

    private:
        std::function<void(qintptr)> m_accept;
    };

    constexpr int listenBacklog = 1024;
    constexpr qintptr noDescriptor = -1;
    // How soon an accepted connection that has no room yet is tried again; closing one takes a turn of its worker.
    constexpr std::chrono::milliseconds roomRetryDelay { 2 };

} // namespace

struct Server::State {
    using Room = internal::ServerState::Room;

    WorkerPool& workers;
    std::shared_ptr<internal::ServerState> shared;
    std::unique_ptr<Listener> listener;
    // One list a worker, touched by that worker only.
    std::vector<std::vector<QPointer<internal::ServerConnection>>> open;
    std::size_t nextWorker = 0;
    qintptr waitingDescriptor = noDescriptor; // accepted; until it has room, the others stay in the backlog

    auto accept(qintptr descriptor) -> void;
    auto acceptWaiting() -> void;
    auto waitForRoom(qintptr descriptor) -> void;
    auto start(qintptr descriptor) -> void;
    static auto refuse(qintptr descriptor) -> void;
};

auto Server::State::accept(qintptr descriptor) -> void
{
    switch (shared->makeRoom(monotonicNow())) {
    case Room::Now:
        start(descriptor);
        return;
    case Room::Soon:
        waitForRoom(descriptor);
        return;
    case Room::None:
        refuse(descriptor);
        return;
    }
}

auto Server::State::waitForRoom(qintptr descriptor) -> void
{
    waitingDescriptor = descriptor;
    // Pausing alone would not end the listener's present round of accepting.
    listener->setMaxPendingConnections(0);
    listener->pauseAccepting();
    QTimer::singleShot(roomRetryDelay, listener.get(), [this] { acceptWaiting(); });
}

auto Server::State::acceptWaiting() -> void
{
    if (waitingDescriptor == noDescriptor)
        return;
    accept(std::exchange(waitingDescriptor, noDescriptor));
    if (waitingDescriptor != noDescriptor || !listener->isListening())
        return;
    listener->setMaxPendingConnections(listenBacklog);
    listener->resumeAccepting();
}

auto Server::State::refuse(qintptr descriptor) -> void
{
    QTcpSocket refused;
    refused.setSocketDescriptor(descriptor);
    refused.abort();
}

auto Server::State::start(qintptr descriptor) -> void
{
    ++shared->connections;
    const auto worker = nextWorker++ % workers.size();
    workers.post(worker, [this, worker, descriptor, connectionState = shared] {
        auto& list = open[worker];
        constexpr std::size_t sweepAt = 64;
        if (list.size() >= sweepAt && list.size() > 2 * connectionState->connections)
            std::erase_if(list, [](const auto& connection) { return connection.isNull(); });
        list.emplace_back(new internal::ServerConnection(connectionState, worker, descriptor));
    });
}

Server::Server(WorkerPool& workers, const Options& options, Handler handler)
    : m_state(std::make_shared<State>(
        State { .workers = workers, .shared = std::make_shared<internal::ServerState>(options, std::move(handler)) }))
{
    m_state->open.resize(workers.size());
}

Server::~Server()
{
    m_state->listener.reset();
    if (m_state->waitingDescriptor != noDescriptor)
        State::refuse(m_state->waitingDescriptor);
    for (std::size_t worker = 0; worker < m_state->workers.size(); ++worker) {
        m_state->workers.runAndWait(worker, [state = m_state, worker] {
            for (auto& connection : state->open[worker]) {
                if (connection)
                    delete connection.data();
            }
            state->open[worker].clear();
        });
    }
}

auto Server::listen(Error& reason) -> bool
{
    const auto& options = m_state->shared->options;
    auto* state = m_state.get();
    m_state->listener = std::make_unique<Listener>([state](qintptr descriptor) -> void { state->accept(descriptor); });
    m_state->listener->setListenBacklogSize(listenBacklog);
    const QHostAddress address(QString::fromStdString(options.address));
    if (m_state->listener->listen(address, options.port))
        return true;
    reason = Error { "listen", options.address + ":" + std::to_string(options.port),
        m_state->listener->errorString().toStdString() };
    return false;
}

auto Server::port() const -> std::uint16_t { return m_state->listener ? m_state->listener->serverPort() : 0; }

auto Server::beginDrain() -> void { m_state->shared->isDraining = true; }

auto Server::finishDrain() -> void
{
    beginDrain();
    if (m_state->listener)
        m_state->listener->close();
    if (m_state->waitingDescriptor != noDescriptor)
        State::refuse(std::exchange(m_state->waitingDescriptor, noDescriptor));
    for (std::size_t worker = 0; worker < m_state->workers.size(); ++worker) {
        m_state->workers.post(worker, [state = m_state, worker] {
            for (auto& connection : state->open[worker]) {
                if (connection)
                    connection->closeWhenIdle();
            }
        });
    }
}

auto Server::connections() const -> std::size_t { return m_state->shared->connections; }

auto Server::busyConnections() const -> std::size_t { return m_state->shared->busyConnections; }

auto Server::released() const -> ReleaseCounters { return m_state->shared->released(); }

} // namespace coriandergate::http
