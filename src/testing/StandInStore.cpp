#include "testing/StandInStore.h"

#include "http/Exchange.h"
#include "http/Server.h"
#include "http/Status.h"
#include "http/WorkerPool.h"
#include "store/StoreProtocol.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace coriandergate::testing {

namespace {

    using nlohmann::json;

    constexpr std::size_t mostBodyBytes = 64 * 1024 * 1024;

    auto makeBytes(int status, std::string body) -> http::Answer
    {
        return http::makeAnswer(status, "application/cbor", std::move(body));
    }

    auto makeUnavailable() -> http::Answer { return http::makeAnswer(http::statusUnavailable, "text/plain", "down\n"); }

    auto makeBadRequest(const Error& reason) -> http::Answer
    {
        return http::makeAnswer(http::statusBadRequest, "text/plain", reason.toText() + "\n");
    }

    auto toAnswer(const store::ReadResult& result) -> http::Answer
    {
        if (std::holds_alternative<store::Unavailable>(result))
            return makeUnavailable();
        const auto& row = std::get<std::optional<store::Row>>(result);
        return row ? makeBytes(http::statusOk, store::encode(std::vector { *row }))
                   : makeBytes(http::statusNotFound, {});
    }

    auto toAnswer(const store::ListResult& result) -> http::Answer
    {
        const auto* rows = std::get_if<std::vector<store::Row>>(&result);
        return rows != nullptr ? makeBytes(http::statusOk, store::encode(*rows)) : makeUnavailable();
    }

    auto toAnswer(const store::PutResult& result) -> http::Answer
    {
        return std::holds_alternative<store::Stored>(result) ? makeBytes(http::statusOk, {}) : makeUnavailable();
    }

    auto toAnswer(const store::FetchResult& result) -> http::Answer
    {
        if (std::holds_alternative<store::Unavailable>(result))
            return makeUnavailable();
        const auto& content = std::get<std::optional<std::string>>(result);
        return content ? makeBytes(http::statusOk, *content) : makeBytes(http::statusNotFound, {});
    }

    auto countsAnswer(const store::StoreCounts& counts) -> http::Answer
    {
        const json value { { "reads", counts.reads }, { "writes", counts.writes }, { "bytesRead", counts.bytesRead },
            { "bytesWritten", counts.bytesWritten } };
        return http::makeAnswer(http::statusOk, "application/json", value.dump() + "\n");
    }

} // namespace

StandInStore::StandInStore(http::WorkerPool& workers, std::uint16_t port)
    : m_workers(workers)
{
    http::Server::Options options;
    options.port = port;
    options.maximumBodyBytes = mostBodyBytes;
    m_server = std::make_unique<http::Server>(
        workers, options, [this](std::shared_ptr<http::Exchange> exchange) { handle(std::move(exchange)); });
}

StandInStore::~StandInStore() = default;

auto StandInStore::listen(Error& reason) -> bool { return m_server->listen(reason); }

auto StandInStore::port() const -> std::uint16_t { return m_server->port(); }

auto StandInStore::handle(std::shared_ptr<http::Exchange> exchange) -> void
{
    const auto& path = exchange->request().target;
    const auto& body = exchange->request().body;
    const auto reply = [this, exchange](const auto& result) { answer(exchange, toAnswer(result)); };
    Error reason;
    if (path == "/_counts")
        return exchange->answer(countsAnswer(m_store.counts()));
    if (path == "/_faults")
        return setFaults(*exchange);
    if (path == "/v1/commit")
        return commit(std::move(exchange));
    if (path == "/v1/read")
        return m_store.read(body, reply);
    if (path == "/v1/fetch")
        return m_store.fetch(body, reply);
    if (path == "/v1/list") {
        if (const auto query = store::decodeListQuery(body, reason))
            return m_store.list(query->prefix, query->after, query->limit, reply);
    }
    if (path == "/v1/put") {
        if (auto object = store::decodeObject(body, reason))
            return m_store.put(object->name, std::move(object->content), reply);
    }
    exchange->answer(makeBadRequest(reason));
}

auto StandInStore::setFaults(http::Exchange& exchange) -> void
{
    const auto value = json::parse(exchange.request().body, nullptr, false);
    if (!value.is_object())
        return exchange.answer(makeBadRequest({ "read faults", {}, "the body is not a JSON object" }));
    store::StoreFaults faults;
    faults.isDown = value.value("isDown", faults.isDown);
    faults.delay = std::chrono::milliseconds(value.value("delayMs", faults.delay.count()));
    faults.loseCommitAnswers = value.value("loseCommitAnswers", faults.loseCommitAnswers);
    faults.dropCommits = value.value("dropCommits", faults.dropCommits);
    faults.loseToAnotherWriter = value.value("loseToAnotherWriter", faults.loseToAnotherWriter);
    m_store.setFaults(faults);
    exchange.answer(http::makeAnswer(http::statusOk, "application/json", "{}\n"));
}

auto StandInStore::commit(std::shared_ptr<http::Exchange> exchange) -> void
{
    Error reason;
    auto transaction = store::decodeTransaction(exchange->request().body, reason);
    if (!transaction)
        return exchange->answer(makeBadRequest(reason));
    m_store.commit(*std::move(transaction), [this, exchange](const store::CommitResult& result) {
        if (std::holds_alternative<store::Committed>(result))
            return answer(exchange, makeBytes(http::statusOk, {}));
        if (const auto* failed = std::get_if<store::ConditionFailed>(&result))
            return answer(exchange, makeBytes(http::statusConflict, store::encode(std::vector { failed->current })));
        if (std::holds_alternative<store::Unavailable>(result))
            return answer(exchange, makeUnavailable());
        const MutexLock lock(m_mutex);
        m_unanswered.push_back(exchange);
    });
}

auto StandInStore::answer(std::shared_ptr<http::Exchange> exchange, http::Answer answer) -> void
{
    const auto worker = exchange->worker();
    const auto delay = m_store.faults().delay;
    if (delay.count() == 0)
        return exchange->answer(std::move(answer));
    m_workers.postAfter(worker, delay, [exchange = std::move(exchange), answer = std::move(answer)]() mutable {
        exchange->answer(std::move(answer));
    });
}

} // namespace coriandergate::testing
