#include "store/RemoteStore.h"

#include "http/Client.h"
#include "http/Status.h"
#include "http/WorkerPool.h"
#include "store/StoreProtocol.h"

#include <atomic>
#include <utility>

namespace coriandergate::store {

namespace {

    constexpr std::size_t mostAnswerBytes = 64 * 1024 * 1024;

    // What came of one exchange with the store, before it is read as a result.
    struct Reply {
        int status = 0; // 0: no answer
        bool mayHaveRun = false;
        std::string body;
        Error error;
    };

    auto toReply(http::ExchangeResult result, const std::string& step, const std::string& peer) -> Reply
    {
        if (auto* failure = std::get_if<http::ExchangeFailure>(&result))
            return { 0, failure->mayHaveRun, {}, { step, peer, failure->error.reason } };
        auto& answer = std::get<http::Answer>(result);
        return { answer.status, answer.status != http::statusUnavailable, std::move(answer.body),
            { step, peer, "the store answered " + std::to_string(answer.status) } };
    }

    auto firstRow(const Reply& reply, Error& reason) -> std::optional<Row>
    {
        auto rows = decodeRows(reply.body, reason);
        if (!rows || rows->empty())
            return std::nullopt;
        return std::move(rows->front());
    }

    // unsure() is the result of a write that got no usable answer.
    template <typename Result> auto unsure(const Reply& reply) -> Result
    {
        if (reply.mayHaveRun)
            return OutcomeUnknown { reply.error };
        return Unavailable { reply.error };
    }

} // namespace

struct RemoteStore::State : std::enable_shared_from_this<RemoteStore::State> {
    State(http::WorkerPool& pool, std::size_t index, std::string address, const Options& chosen)
        : workers(pool)
        , worker(index)
        , peer(std::move(address))
        , options(chosen)
    {
    }

    auto send(std::string step, std::string path, std::string body, std::chrono::milliseconds timeout,
        std::function<void(Reply)> done) -> void
    {
        workers.post(worker,
            [weak = weak_from_this(), step = std::move(step), path = std::move(path), body = std::move(body), timeout,
                done = std::move(done)]() mutable {
                const auto self = weak.lock();
                if (!self || !self->client)
                    return;
                http::Request request {
                    .method = "POST", .target = std::move(path), .headers = {}, .body = std::move(body)
                };
                request.headers.add("Host", self->peer);
                self->client->send(self->peer, request, { .timeout = timeout, .maximumAnswerBytes = mostAnswerBytes },
                    [step = std::move(step), peer = self->peer, done = std::move(done)](
                        http::ExchangeResult result) { done(toReply(std::move(result), step, peer)); });
            });
    }

    http::WorkerPool& workers;
    const std::size_t worker;
    const std::string peer;
    const Options options;
    std::unique_ptr<http::Client> client; // made, used and destroyed on the worker
    std::atomic<std::uint64_t> reads = 0;
    std::atomic<std::uint64_t> writes = 0;
};

RemoteStore::RemoteStore(http::WorkerPool& workers, std::size_t worker, std::string peer, const Options& options)
    : m_state(std::make_shared<State>(workers, worker, std::move(peer), options))
{
    workers.runAndWait(worker, [state = m_state] {
        state->client
            = std::make_unique<http::Client>(http::Client::Options { .connectTimeout = state->options.timeout });
    });
}

RemoteStore::~RemoteStore()
{
    m_state->workers.runAndWait(m_state->worker, [state = m_state] { state->client.reset(); });
}

auto RemoteStore::commit(Transaction transaction, CommitCallback done) -> void
{
    ++m_state->writes;
    m_state->send("commit transaction", "/v1/commit", encode(transaction), m_state->options.timeout,
        [done = std::move(done)](const Reply& reply) {
            Error reason;
            if (reply.status == http::statusOk)
                return done(Committed {});
            if (reply.status == http::statusConflict) {
                if (auto row = firstRow(reply, reason))
                    return done(ConditionFailed { *std::move(row) });
            }
            done(unsure<CommitResult>(reply));
        });
}

auto RemoteStore::read(std::string_view key, ReadCallback done) -> void
{
    ++m_state->reads;
    m_state->send("read row", "/v1/read", std::string(key), m_state->options.timeout,
        [done = std::move(done)](const Reply& reply) {
            Error reason = reply.error;
            if (reply.status == http::statusNotFound)
                return done(std::optional<Row> {});
            auto row = reply.status == http::statusOk ? firstRow(reply, reason) : std::nullopt;
            if (!row)
                return done(Unavailable { reason });
            done(std::move(row));
        });
}

auto RemoteStore::list(std::string_view prefix, std::string_view after, std::size_t limit, ListCallback done) -> void
{
    ++m_state->reads;
    m_state->send("list rows", "/v1/list", encode(ListQuery { std::string(prefix), std::string(after), limit }),
        m_state->options.timeout, [done = std::move(done)](const Reply& reply) {
            Error reason = reply.error;
            auto rows = reply.status == http::statusOk ? decodeRows(reply.body, reason) : std::nullopt;
            if (!rows)
                return done(Unavailable { reason });
            done(*std::move(rows));
        });
}

auto RemoteStore::put(std::string_view name, std::string content, PutCallback done) -> void
{
    ++m_state->writes;
    m_state->send("put object", "/v1/put", encode(StoredObject { std::string(name), std::move(content) }),
        m_state->options.objectTimeout, [done = std::move(done)](const Reply& reply) {
            if (reply.status == http::statusOk)
                return done(Stored {});
            done(unsure<PutResult>(reply));
        });
}

auto RemoteStore::fetch(std::string_view name, FetchCallback done) -> void
{
    ++m_state->reads;
    m_state->send("fetch object", "/v1/fetch", std::string(name), m_state->options.objectTimeout,
        [done = std::move(done)](Reply reply) {
            if (reply.status == http::statusNotFound)
                return done(std::optional<std::string> {});
            if (reply.status != http::statusOk)
                return done(Unavailable { reply.error });
            done(std::optional<std::string>(std::move(reply.body)));
        });
}

auto RemoteStore::reads() const -> std::uint64_t { return m_state->reads; }

auto RemoteStore::writes() const -> std::uint64_t { return m_state->writes; }

} // namespace coriandergate::store
