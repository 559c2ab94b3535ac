#include "rpc/RpcClient.h"

#include "http/Client.h"
#include "http/Status.h"
#include "http/WorkerPool.h"
#include "rpc/RpcTraffic.h"
#include "rpc/internal/JsonConversion.h"

#include <json/reader.h>
#include <jsonrpccpp/client/batchcall.h>

#include <deque>
#include <map>
#include <unordered_map>

namespace coriandergate::rpc {

namespace {

    constexpr std::size_t headerBytes = 120; // of one request or answer, about

    struct Call {
        std::string method;
        nlohmann::json parameters;
        std::chrono::milliseconds timeout {};
        RpcClient::Callback callback; // empty once called
        bool isSent = false;
    };

    struct Peer {
        std::deque<std::shared_ptr<Call>> waiting;
        bool isBusy = false;
    };

    using Batch = std::map<int, std::shared_ptr<Call>>; // by the id within the batch

    auto finish(Call& call, RpcResult result) -> void
    {
        if (const auto callback = std::exchange(call.callback, nullptr))
            callback(std::move(result));
    }

    auto failureOf(const Call& call, const std::string& peer, std::string reason, bool mayHaveRun) -> RpcFailure
    {
        return { { "call " + call.method, peer, std::move(reason) }, mayHaveRun };
    }

    auto parseAnswers(const std::string& body) -> Json::Value
    {
        Json::Value answers;
        const Json::CharReaderBuilder builder;
        const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
        try {
            if (!reader->parse(body.data(), body.data() + body.size(), &answers, nullptr) || !answers.isArray())
                return Json::Value(Json::arrayValue);
        } catch (const std::exception&) {
            return Json::Value(Json::arrayValue);
        }
        return answers;
    }

    auto resultOf(const Json::Value& answer, const Call& call, const std::string& peer) -> RpcResult
    {
        const auto& error = answer["error"];
        if (error.isObject() && error["message"].isString())
            return failureOf(call, peer, error["message"].asString(), true);
        return internal::fromJsonCpp(answer["result"]);
    }

    auto takeAnswers(const Batch& batch, const std::string& peer, const std::string& body) -> void
    {
        for (const auto& answer : parseAnswers(body)) {
            if (!answer.isObject() || !answer["id"].isInt())
                continue;
            const auto call = batch.find(answer["id"].asInt());
            if (call != batch.end())
                finish(*call->second, resultOf(answer, *call->second, peer));
        }
        for (const auto& [id, call] : batch) {
            if (call->callback)
                finish(*call, failureOf(*call, peer, "the answer has no result for it", true));
        }
    }

}

// State is used on the client's worker only, but for `traffic`.
struct RpcClient::State : public std::enable_shared_from_this<RpcClient::State> {
    State(http::WorkerPool& pool, const Options& clientOptions)
        : workers(pool)
        , options(clientOptions)
    {
    }

    http::WorkerPool& workers;
    const Options options;
    std::unique_ptr<http::Client> client;
    std::unordered_map<std::string, Peer> peers;
    RpcTraffic traffic;

    auto enqueue(const std::string& address, const std::shared_ptr<Call>& call) -> void;
    auto expire(const std::string& address, Call& call) -> void;
    auto sendNext(const std::string& address) -> void;
    auto takeResult(const std::string& address, const Batch& batch, const http::ExchangeResult& result) -> void;
};

auto RpcClient::State::enqueue(const std::string& address, const std::shared_ptr<Call>& call) -> void
{
    if (!client)
        return;
    auto& peer = peers[address];
    if (peer.waiting.size() >= options.maximumQueue) {
        finish(*call, failureOf(*call, address, "too many calls wait for this peer", false));
        return;
    }
    ++traffic.calls;
    peer.waiting.push_back(call);
    workers.postAfter(options.worker, call->timeout, [state = weak_from_this(), address, call] {
        if (const auto alive = state.lock())
            alive->expire(address, *call);
    });
    sendNext(address);
}

auto RpcClient::State::expire(const std::string& address, Call& call) -> void
{
    if (!call.callback)
        return;
    ++traffic.failures;
    finish(call,
        failureOf(call, address, "no answer within " + std::to_string(call.timeout.count()) + " ms", call.isSent));
}

auto RpcClient::State::sendNext(const std::string& address) -> void
{
    auto& peer = peers[address];
    std::erase_if(peer.waiting, [](const auto& call) { return !call->callback; });
    if (peer.isBusy)
        return;
    if (peer.waiting.empty()) {
        peers.erase(address);
        return;
    }
    jsonrpc::BatchCall encoder;
    Batch batch;
    std::chrono::milliseconds timeout { 0 };
    while (!peer.waiting.empty() && batch.size() < options.maximumBatch) {
        auto call = std::move(peer.waiting.front());
        peer.waiting.pop_front();
        call->isSent = true;
        timeout = std::max(timeout, call->timeout);
        const auto id = encoder.addCall(call->method, internal::toJsonCpp(call->parameters));
        batch.emplace(id, std::move(call));
    }
    peer.isBusy = true;
    http::Request request;
    request.method = "POST";
    request.target = "/rpc";
    request.headers.add("Host", address);
    request.headers.add("Content-Type", "application/json");
    request.body = encoder.toString();
    traffic.bytesOut += request.body.size() + headerBytes;
    client->send(address, request, { .timeout = timeout, .maximumAnswerBytes = options.maximumAnswerBytes },
        [this, address, batch = std::move(batch)](
            const http::ExchangeResult& result) { takeResult(address, batch, result); });
}

auto RpcClient::State::takeResult(const std::string& address, const Batch& batch, const http::ExchangeResult& result)
    -> void
{
    const auto keepAlive = shared_from_this();
    peers[address].isBusy = false;
    if (const auto* const answer = std::get_if<http::Answer>(&result);
        answer != nullptr && answer->status == http::statusOk) {
        traffic.bytesIn += answer->body.size() + headerBytes;
        takeAnswers(batch, address, answer->body);
    } else {
        const auto* const failure = std::get_if<http::ExchangeFailure>(&result);
        const auto reason = failure != nullptr ? failure->error.toText()
                                               : "status " + std::to_string(std::get<http::Answer>(result).status);
        for (const auto& [id, call] : batch) {
            traffic.failures += call->callback ? 1 : 0;
            finish(*call, failureOf(*call, address, reason, failure == nullptr || failure->mayHaveRun));
        }
    }
    sendNext(address);
}

RpcClient::RpcClient(http::WorkerPool& workers, const Options& options)
    : m_state(std::make_shared<State>(workers, options))
{
    workers.runAndWait(options.worker, [state = m_state] {
        state->client
            = std::make_unique<http::Client>(http::Client::Options { .connectTimeout = state->options.connectTimeout,
                .idleTimeout = state->options.idleTimeout,
                .maximumIdlePerPeer = 1 });
    });
}

RpcClient::~RpcClient()
{
    m_state->workers.runAndWait(m_state->options.worker, [state = m_state] { state->client.reset(); });
}

auto RpcClient::call(const std::string& peer, const std::string& method, nlohmann::json parameters,
    std::chrono::milliseconds timeout, Callback callback) -> void
{
    auto call = std::make_shared<Call>(Call { method, std::move(parameters), timeout, std::move(callback) });
    m_state->workers.post(
        m_state->options.worker, [state = m_state, peer, call = std::move(call)] { state->enqueue(peer, call); });
}

auto RpcClient::traffic() const -> const RpcTraffic& { return m_state->traffic; }

} // namespace coriandergate::rpc
