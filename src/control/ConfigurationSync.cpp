#include "control/ConfigurationSync.h"

#include "base/Error.h"
#include "config/ConfigurationKeeper.h"
#include "config/PeerDirectory.h"
#include "config/Snapshot.h"
#include "config/SnapshotCodec.h"
#include "control/ChangeStore.h"
#include "control/SyncMessage.h"
#include "http/Client.h"
#include "http/Exchange.h"
#include "http/Problem.h"
#include "http/Status.h"
#include "http/WorkerPool.h"

#include <utility>

namespace coriandergate::control {

namespace {

    constexpr std::size_t mostPendingPulls = 4;
    constexpr std::size_t mostPulledBytes = 64 * 1024 * 1024;
    constexpr std::size_t requestHeaderBytes = 65;
    constexpr std::size_t answerHeaderBytes = 80;
    constexpr std::string_view textType = "text/plain";

    auto makeRequest(const std::string& peer, std::string method, std::string_view path, std::string body)
        -> http::Request
    {
        http::Request request {
            .method = std::move(method), .target = std::string(path), .headers = {}, .body = std::move(body)
        };
        request.headers.add("Host", peer);
        return request;
    }

    auto answerProblem(http::Exchange& exchange, int status, std::string_view reason) -> void
    {
        exchange.answer(http::makeAnswer(status, http::problemContentType, http::problemBody(status, reason)));
    }

    // bodyOf() is the body of a good answer; nullopt with the reason for any other result.
    auto bodyOf(http::ExchangeResult& result, const std::string& step, const std::string& peer, Error& reason)
        -> std::optional<std::string>
    {
        if (const auto* failure = std::get_if<http::ExchangeFailure>(&result)) {
            reason = failure->error;
            return std::nullopt;
        }
        auto& answer = std::get<http::Answer>(result);
        if (answer.status != http::statusOk) {
            reason = { step, peer, "the peer answered " + std::to_string(answer.status) };
            return std::nullopt;
        }
        return std::move(answer.body);
    }

} // namespace

ConfigurationSync::ConfigurationSync(http::WorkerPool& workers, std::size_t worker,
    std::shared_ptr<ChangeStore> changes, std::shared_ptr<config::ConfigurationKeeper> keeper,
    std::shared_ptr<const config::PeerDirectory> peers, const Options& options)
    : m_workers(workers)
    , m_worker(worker)
    , m_changes(std::move(changes))
    , m_keeper(std::move(keeper))
    , m_peers(std::move(peers))
    , m_options(options)
{
}

ConfigurationSync::~ConfigurationSync() = default;

auto ConfigurationSync::start() -> void
{
    m_isRunning = true;
    m_workers.runAndWait(m_worker, [this] {
        m_client = std::make_unique<http::Client>(http::Client::Options { .connectTimeout = m_options.askTimeout });
        tick();
    });
}

auto ConfigurationSync::stop() -> void
{
    m_isRunning = false;
    m_workers.runAndWait(m_worker, [this] { m_client.reset(); });
}

auto ConfigurationSync::onWorker(std::function<void()> task) -> void
{
    m_workers.post(m_worker, [self = shared_from_this(), task = std::move(task)] {
        if (self->m_isRunning)
            task();
    });
}

auto ConfigurationSync::tick() -> void
{
    for (const auto& action : m_keeper->tick(monotonicNow(), m_peers->peers()))
        std::visit([this](const auto& chosen) { carryOut(chosen); }, action);
    m_workers.postAfter(m_worker, m_options.tickInterval, [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self && self->m_isRunning)
            self->tick();
    });
}

auto ConfigurationSync::carryOut(const config::PollStore&) -> void
{
    ++m_counters.storeReads;
    m_changes->readHead([self = shared_from_this(), askedAt = monotonicNow()](const ChangeStore::HeadResult& result) {
        if (const auto* head = std::get_if<std::optional<config::ConfigurationHead>>(&result))
            self->m_keeper->onStoreHead(*head, askedAt);
        else
            self->m_keeper->onStoreFailed(monotonicNow());
    });
}

auto ConfigurationSync::carryOut(const config::AskPeer& ask) -> void
{
    ++m_counters.asks;
    countAsked(0);
    m_client->send(ask.peer, makeRequest(ask.peer, "GET", headPath, {}), { .timeout = m_options.askTimeout },
        [this, peer = ask.peer, askedAt = monotonicNow()](http::ExchangeResult result) {
            Error reason;
            const auto body = bodyOf(result, "ask for the head", peer, reason);
            const auto head = body ? config::parseConfigurationHead(*body, reason) : std::nullopt;
            if (!head)
                return;
            m_counters.bytesReceived += answerHeaderBytes + body->size();
            m_keeper->onPeerHead(peer, *head, askedAt);
        });
}

auto ConfigurationSync::carryOut(const config::AnnounceToPeer& announcement) -> void
{
    auto body = m_options.self + " " + announcement.head.toText();
    countAsked(body.size());
    m_client->send(announcement.peer, makeRequest(announcement.peer, "POST", announcePath, std::move(body)),
        { .timeout = m_options.askTimeout }, [](const http::ExchangeResult&) {});
}

auto ConfigurationSync::carryOut(const config::Pull& pull) -> void
{
    ++m_counters.pulls;
    if (pull.peer.empty())
        pullFromStore(pull);
    else
        pullFromPeer(pull);
}

auto ConfigurationSync::pullFromPeer(const config::Pull& pull) -> void
{
    auto body = pull.from.toText() + " " + pull.to.toText();
    countAsked(body.size());
    const auto timeout = pull.from.version == 0 ? m_options.snapshotTimeout : m_options.deltaTimeout;
    m_client->send(pull.peer, makeRequest(pull.peer, "POST", pullPath, std::move(body)),
        { .timeout = timeout, .maximumAnswerBytes = mostPulledBytes }, [this, pull](http::ExchangeResult result) {
            Error reason;
            const auto received = bodyOf(result, "pull configuration", pull.peer, reason);
            const auto pulled = received ? decodePulled(*received, reason) : std::nullopt;
            if (!pulled)
                return fail(pull, reason);
            m_counters.bytesReceived += answerHeaderBytes + received->size();
            take(pull, *pulled);
        });
}

auto ConfigurationSync::pullFromStore(const config::Pull& pull) -> void
{
    // One delta leads from each version to the next; a daemon that is further behind takes the snapshot.
    if (pull.from.version + 1 != pull.to.version || pull.from.version == 0)
        return pullSnapshotFromStore(pull);
    ++m_counters.storeReads;
    m_changes->readDelta(pull.to, [self = shared_from_this(), pull](ChangeStore::TextResult result) {
        if (const auto* unavailable = std::get_if<store::Unavailable>(&result))
            return self->fail(pull, unavailable->error);
        auto& delta = std::get<std::optional<std::string>>(result);
        if (!delta)
            return self->pullSnapshotFromStore(pull);
        self->onWorker([self, pull, delta = *std::move(delta)] { self->take(pull, { { delta }, {}, {} }); });
    });
}

auto ConfigurationSync::pullSnapshotFromStore(const config::Pull& pull) -> void
{
    ++m_counters.storeReads;
    m_changes->readSnapshot(pull.to, [self = shared_from_this(), pull](ChangeStore::TextResult result) {
        if (const auto* unavailable = std::get_if<store::Unavailable>(&result))
            return self->fail(pull, unavailable->error);
        auto& snapshot = std::get<std::optional<std::string>>(result);
        if (!snapshot)
            return self->fail(pull, { "fetch snapshot", pull.to.toText(), "there is no such object" });
        self->onWorker([self, pull, snapshot = *std::move(snapshot)] { self->take(pull, { {}, pull.to, snapshot }); });
    });
}

auto ConfigurationSync::take(const config::Pull& pull, const PulledConfiguration& pulled) -> void
{
    Error reason;
    const auto isTaken = pulled.deltas.empty() ? m_keeper->onSnapshot(pulled.snapshot, pulled.head, reason)
                                               : m_keeper->onDelta(pulled.deltas, reason);
    if (!isTaken)
        return fail(pull, reason);
    if (m_options.onTaken)
        m_options.onTaken();
}

auto ConfigurationSync::fail(const config::Pull& pull, const Error& reason) -> void
{
    ++m_counters.failedPulls;
    m_keeper->onPullFailed(pull, monotonicNow());
    if (m_options.onPullFailed)
        m_options.onPullFailed(pull.peer.empty() ? "store" : pull.peer, reason);
}

auto ConfigurationSync::countAsked(std::size_t bodyBytes) -> void
{
    m_counters.bytesSent += requestHeaderBytes + bodyBytes;
}

auto ConfigurationSync::countAnswered(std::size_t requestBytes, std::size_t answerBytes) -> void
{
    m_counters.bytesReceived += requestHeaderBytes + requestBytes;
    m_counters.bytesSent += answerHeaderBytes + answerBytes;
}

auto ConfigurationSync::answerHead(const std::shared_ptr<http::Exchange>& exchange) -> void
{
    auto text = m_keeper->head().toText();
    countAnswered(0, text.size());
    exchange->answer(http::makeAnswer(http::statusOk, textType, std::move(text)));
}

auto ConfigurationSync::answerAnnouncement(const std::shared_ptr<http::Exchange>& exchange) -> void
{
    const auto& body = exchange->request().body;
    countAnswered(body.size(), 0);
    Error reason { "read announcement", exchange->peer(), "'address head' is needed" };
    const auto parts = splitPair(body);
    const auto head = parts ? config::parseConfigurationHead(parts->second, reason) : std::nullopt;
    if (!head)
        return answerProblem(*exchange, http::statusBadRequest, reason.toText());
    m_keeper->onAnnouncement(parts->first, *head);
    exchange->answer(http::makeAnswer(http::statusOk, textType, {}));
}

auto ConfigurationSync::answerPull(const std::shared_ptr<http::Exchange>& exchange, http::WorkerPool& exchangeWorkers)
    -> void
{
    Error reason { "read pull", exchange->peer(), "'from to' is needed" };
    const auto parts = splitPair(exchange->request().body);
    const auto from = parts ? config::parseConfigurationHead(parts->first, reason) : std::nullopt;
    if (!from)
        return answerProblem(*exchange, http::statusBadRequest, reason.toText());
    // A bound on the copies of the snapshot in memory; whoever is turned away asks another peer.
    if (m_pendingPulls.fetch_add(1) >= mostPendingPulls) {
        --m_pendingPulls;
        return answerProblem(*exchange, http::statusUnavailable, "too many daemons are pulling from this one");
    }
    m_workers.post(m_worker, [self = shared_from_this(), exchange, from = *from, &exchangeWorkers] {
        auto bytes = self->pulledFor(from);
        self->countAnswered(exchange->request().body.size(), bytes.size());
        exchangeWorkers.post(exchange->worker(), [self, exchange, bytes = std::move(bytes)]() mutable {
            --self->m_pendingPulls;
            if (bytes.empty())
                return answerProblem(*exchange, http::statusUnavailable, "there is no configuration yet");
            exchange->answer(http::makeAnswer(http::statusOk, "application/cbor", std::move(bytes)));
        });
    });
}

auto ConfigurationSync::pulledFor(const config::ConfigurationHead& from) -> std::string
{
    if (auto deltas = m_keeper->deltasFrom(from))
        return encodePulled({ *std::move(deltas), {}, {} });
    const auto current = m_keeper->current();
    if (!current)
        return {};
    return encodePulled(
        { {}, config::headOf(*current->configuration), config::encodeSnapshot(*current->configuration) });
}

} // namespace coriandergate::control
