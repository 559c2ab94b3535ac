#include "testing/StandInTarget.h"

#include "base/Clock.h"
#include "base/Error.h"
#include "base/Hash.h"
#include "http/Client.h"
#include "http/RequestParser.h"
#include "http/Serialize.h"
#include "testing/TargetMode.h"

#include <nlohmann/json.hpp>

#include <QHostAddress>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>

#include <algorithm>
#include <charconv>
#include <random>
#include <unistd.h>

namespace coriandergate::testing {

namespace {

    using Json = nlohmann::json;

    constexpr std::size_t maximumSeenRequests = 100000;
    constexpr std::chrono::milliseconds leavePollInterval { 50 };
    constexpr std::chrono::milliseconds announceTimeout { 1000 };
    constexpr int crashExitCode = 70;

    auto millisecondsOf(std::string_view text) -> std::chrono::milliseconds
    {
        std::int64_t number = 0;
        std::from_chars(text.data(), text.data() + text.size(), number);
        return std::chrono::milliseconds(number);
    }

}

// Connection is one caller's connection; a request on it is served before the next is read.
struct Connection {
    QTcpSocket* socket = nullptr;
    std::string unread;
    http::RequestParser parser { {} };
    bool isBusy = false;
};

struct StandInTarget::State {
    Options options;
    TargetMode mode;
    QTcpServer server;
    QTimer announceTimer;
    http::Client client { {} };
    std::mt19937_64 random;
    MonotonicTime startedAt = monotonicNow();
    std::uint64_t incarnation = 0;
    std::uint32_t concurrency = 0;
    std::uint32_t highestConcurrency = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t forgotten = 0;
    Json seen = Json::array();

    auto acceptConnections() -> void;
    auto read(const std::shared_ptr<Connection>& connection) -> void;
    auto handle(const std::shared_ptr<Connection>& connection, const http::Request& request) -> void;
    auto handleOwn(const std::shared_ptr<Connection>& connection, const http::Request& request) -> void;
    auto serve(const std::shared_ptr<Connection>& connection, const http::Request& request) -> void;
    auto record(const http::Request& request) -> void;
    auto send(const std::shared_ptr<Connection>& connection, const http::Answer& answer, bool isHalf) -> void;
    auto post(const std::string& path, const Json& body) -> void;
    auto announce() -> void;
    auto sayLeave() -> void;
    [[nodiscard]] auto address() const -> std::string { return "127.0.0.1:" + std::to_string(server.serverPort()); }
    [[nodiscard]] auto report() const -> Json;
};

auto StandInTarget::State::acceptConnections() -> void
{
    while (auto* const socket = server.nextPendingConnection()) {
        auto connection = std::make_shared<Connection>();
        connection->socket = socket;
        QObject::connect(socket, &QTcpSocket::readyRead, socket, [this, connection] {
            connection->unread += connection->socket->readAll().toStdString();
            read(connection);
        });
        QObject::connect(socket, &QTcpSocket::disconnected, socket, [this, socket, connection] {
            if (std::exchange(connection->isBusy, false)) {
                --concurrency;
                ++cancelled;
            }
            socket->deleteLater();
        });
    }
}

auto StandInTarget::State::read(const std::shared_ptr<Connection>& connection) -> void
{
    while (!connection->isBusy && !connection->unread.empty()) {
        const auto used = connection->parser.feed(connection->unread);
        connection->unread.erase(0, used);
        if (connection->parser.progress() == http::ParseProgress::Failed) {
            connection->socket->disconnectFromHost();
            return;
        }
        if (connection->parser.progress() == http::ParseProgress::NeedsMore)
            return;
        const auto request = connection->parser.takeRequest();
        connection->parser = http::RequestParser({});
        handle(connection, request);
    }
}

auto StandInTarget::State::handle(const std::shared_ptr<Connection>& connection, const http::Request& request) -> void
{
    if (request.target.starts_with("/_")) {
        handleOwn(connection, request);
        return;
    }
    record(request);
    if (!mode.crashPath.empty() && request.target == mode.crashPath)
        ::_exit(crashExitCode);
    serve(connection, request);
}

auto StandInTarget::State::handleOwn(const std::shared_ptr<Connection>& connection, const http::Request& request)
    -> void
{
    if (request.target == "/_seen") {
        send(connection,
            http::makeAnswer(200, "application/json", report().dump(-1, ' ', false, Json::error_handler_t::replace)),
            false);
        return;
    }
    if (request.target != "/_mode") {
        send(connection, http::makeAnswer(404, "text/plain", "unknown\n"), false);
        return;
    }
    Error reason;
    if (request.method == "POST") {
        const auto changed = parseTargetMode(request.body, mode, reason);
        if (!changed) {
            send(connection, http::makeAnswer(400, "text/plain", reason.toText() + "\n"), false);
            return;
        }
        if (changed->drain && !mode.drain)
            sayLeave();
        mode = *changed;
    }
    send(connection, http::makeAnswer(200, "application/json", toText(mode)), false);
}

auto StandInTarget::State::serve(const std::shared_ptr<Connection>& connection, const http::Request& request) -> void
{
    connection->isBusy = true;
    highestConcurrency = std::max(highestConcurrency, ++concurrency);
    if (mode.hang)
        return;
    const auto isFailing = std::uniform_real_distribution<>()(random) < mode.failRate;
    auto answer = isFailing ? http::makeAnswer(500, "text/plain", "failed on command\n")
                            : http::makeAnswer(200, "application/octet-stream", request.body);
    answer.headers.add("x-target", address());
    const auto wanted = request.headers.find("x-service-time");
    const auto time = mode.slowFactor * (wanted ? millisecondsOf(*wanted) : options.serviceTime);
    const auto isHalf = mode.halfAnswer;
    QTimer::singleShot(std::chrono::duration_cast<std::chrono::milliseconds>(time), Qt::PreciseTimer,
        connection->socket, [this, connection, answer, isHalf] {
            if (!std::exchange(connection->isBusy, false))
                return;
            --concurrency;
            send(connection, answer, isHalf);
            read(connection);
        });
}

auto StandInTarget::State::record(const http::Request& request) -> void
{
    if (seen.size() >= maximumSeenRequests) {
        ++forgotten;
        return;
    }
    auto headers = Json::array();
    for (const auto& header : request.headers)
        headers.push_back({ header.name, header.value });
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(monotonicNow() - startedAt);
    seen.push_back({ { "method", request.method }, { "path", request.target }, { "headers", headers },
        { "bodyBytes", request.body.size() }, { "bodyDigest", std::to_string(hashOf(request.body)) },
        { "milliseconds", age.count() } });
}

auto StandInTarget::State::send(const std::shared_ptr<Connection>& connection, const http::Answer& answer, bool isHalf)
    -> void
{
    const auto bytes = http::serializeAnswer(answer, false);
    const auto size = isHalf ? bytes.size() / 2 : bytes.size();
    connection->socket->write(bytes.data(), static_cast<qint64>(size));
    if (isHalf)
        connection->socket->disconnectFromHost();
}

auto StandInTarget::State::post(const std::string& path, const Json& body) -> void
{
    if (options.admin.empty())
        return;
    http::Request request;
    request.method = "POST";
    request.target = path;
    request.headers.add("Host", options.admin);
    request.headers.add("Content-Type", "application/json");
    request.body = body.dump(-1, ' ', false, Json::error_handler_t::replace);
    // A lost announcement is followed by the next one, so there is nothing to do about a failure.
    client.send(options.admin, request, { .timeout = announceTimeout }, [](const http::ExchangeResult&) {});
}

auto StandInTarget::State::announce() -> void
{
    if (mode.drain)
        return;
    post("/announce",
        { { "service", options.service }, { "address", address() }, { "slots", options.slots },
            { "incarnation", incarnation } });
}

auto StandInTarget::State::sayLeave() -> void { post("/leave", { { "address", address() } }); }

auto StandInTarget::State::report() const -> Json
{
    return { { "slots", options.slots }, { "highestConcurrency", highestConcurrency }, { "cancelled", cancelled },
        { "forgotten", forgotten }, { "requests", seen } };
}

StandInTarget::StandInTarget(const Options& options)
    : m_state(std::make_unique<State>())
{
    m_state->options = options;
    m_state->random.seed(options.seed);
    // 32 bits, so that each JSON reader keeps the number exactly.
    m_state->incarnation = std::random_device {}();
    auto* const state = m_state.get();
    QObject::connect(
        &state->server, &QTcpServer::newConnection, &state->server, [state] { state->acceptConnections(); });
    QObject::connect(&state->announceTimer, &QTimer::timeout, &state->server, [state] { state->announce(); });
}

StandInTarget::~StandInTarget() = default;

auto StandInTarget::start(Error& reason) -> bool
{
    if (!m_state->server.listen(QHostAddress(QHostAddress::LocalHost), m_state->options.port)) {
        reason = { "listen", "127.0.0.1:" + std::to_string(m_state->options.port),
            m_state->server.errorString().toStdString() };
        return false;
    }
    m_state->announceTimer.start(m_state->options.announceInterval);
    m_state->announce();
    return true;
}

auto StandInTarget::port() const -> std::uint16_t { return m_state->server.serverPort(); }

auto StandInTarget::leave(std::function<void()> finished) -> void
{
    if (!m_state->mode.drain)
        m_state->sayLeave();
    m_state->mode.drain = true;
    auto* const poll = new QTimer(&m_state->server);
    const auto earliest = monotonicNow() + m_state->options.linger;
    QObject::connect(poll, &QTimer::timeout, poll, [this, earliest, finished = std::move(finished)] {
        if (m_state->concurrency == 0 && monotonicNow() >= earliest)
            finished();
    });
    poll->start(leavePollInterval);
}

} // namespace coriandergate::testing
