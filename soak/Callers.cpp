#include "soak/Callers.h"

#include "http/Request.h"
#include "http/Serialize.h"
#include "net/HttpClient.h"
#include "platform/ProtocolNames.h"
#include "soak/SocketCaller.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <random>

namespace coriandergate::soak {

using std::chrono::milliseconds;

struct Callers::State {
    // Caller is one of them, with a connection of its own.
    struct Caller {
        std::size_t host = 0;
        std::string address;
        std::unique_ptr<net::HttpClient> client;
        std::unique_ptr<boost::asio::steady_timer> timer;
        std::uint64_t sent = 0;
        std::size_t number = 0;
    };

    State(Checker& checkerOfRun, std::vector<std::string> addresses, const Options& callerOptions, const Callers& all)
        : checker(checkerOfRun)
        , options(callerOptions)
        , owner(all)
        , random(callerOptions.seed)
    {
        for (std::size_t host = 0; host < addresses.size(); ++host) {
            for (std::size_t i = 0; i < options.perHost; ++i)
                callers.push_back(
                    { host, addresses[host], std::make_unique<net::HttpClient>(io, net::HttpClient::Options {}),
                        std::make_unique<boost::asio::steady_timer>(io), 0, callers.size() });
            for (std::size_t i = 0; i < options.socketsPerHost; ++i)
                socketCallers.push_back(std::make_unique<SocketCaller>(io, checker,
                    SocketCaller::Options { .host = host,
                        .address = addresses[host],
                        .name = "s-" + std::to_string(socketCallers.size()),
                        .pause = options.pause,
                        .seed = random() }));
        }
    }

    auto draw(Caller& caller) -> Checker::Sent
    {
        Checker::Sent sent;
        sent.id = "r-" + std::to_string(caller.number) + "-" + std::to_string(caller.sent++);
        sent.host = caller.host;
        sent.method = "GET";
        sent.key = "key-one";
        sent.account = "one";
        sent.isRepeatable = true;
        constexpr std::uint64_t kinds = 20;
        const auto kind = random() % kinds;
        if (kind < 8) {
            sent.path = "/ledger/" + sent.id;
        } else if (kind < 14) {
            sent.path = "/book/" + sent.id;
            sent.method = "POST";
            sent.body = "body of " + sent.id;
            sent.isRepeatable = false;
        } else if (kind < 16) {
            sent.path = "/ledger/" + sent.id;
            sent.key = "key-two";
            sent.account = "two";
        } else if (kind < 18) {
            // The newest such key, or the one before it, which has been withdrawn.
            const auto newest = owner.m_withdrawable.load();
            sent.path = "/ledger/" + sent.id;
            sent.key = "key-three-" + std::to_string(newest > 1 && random() % 2 == 0 ? newest - 1 : newest);
            sent.account = "three";
        } else {
            const auto newest = owner.m_generation.load();
            sent.generation = newest > 1 && random() % 2 == 0 ? newest - 1 : newest;
            sent.path = "/gen-" + std::to_string(sent.generation) + "/" + sent.id;
        }
        return sent;
    }

    auto send(Caller& caller) -> void
    {
        if (isStopping)
            return;
        const auto names = platform::headerNames();
        const auto sent = draw(caller);
        http::Request request;
        request.method = sent.method;
        request.target = sent.path;
        request.headers.add("Host", "demo.example");
        request.headers.add(names.requestId, sent.id);
        request.headers.add(names.deadline, std::to_string(options.deadline.count()));
        request.headers.add(names.apiKey, sent.key);
        request.body = sent.body;
        checker.sent(sent, monotonicNow());
        ++underWay;
        caller.client->send(caller.address, http::serializeRequest(request), { .timeout = options.deadline },
            [this, &caller, id = sent.id](const net::HttpClient::Result& result) {
                --underWay;
                take(id, result);
                pause(caller);
            });
    }

    auto take(const std::string& id, const net::HttpClient::Result& result) -> void
    {
        const auto now = monotonicNow();
        if (const auto* answer = std::get_if<http::Answer>(&result)) {
            const bool isSigned = answer->headers.find(platform::headerNames().signature).has_value();
            checker.answered(id, answer->status, answer->body, isSigned, now);
            return;
        }
        const auto& failure = std::get<http::ExchangeFailure>(result);
        // A caller whose time ran out left by itself; a connection that wasn't made carried nothing.
        if (failure.mayHaveRun && !failure.wasTimeout)
            checker.cut(id, now);
    }

    auto pause(Caller& caller) -> void
    {
        std::uniform_int_distribution<milliseconds::rep> length(0, 2 * options.pause.count());
        caller.timer->expires_after(milliseconds(length(random)));
        caller.timer->async_wait([this, &caller](const boost::system::error_code& error) {
            if (!error)
                send(caller);
        });
    }

    Checker& checker;
    Options options;
    const Callers& owner;
    boost::asio::io_context io;
    std::mt19937_64 random;
    std::vector<Caller> callers;
    std::vector<std::unique_ptr<SocketCaller>> socketCallers;
    std::thread thread;
    std::atomic<bool> isStopping { false };
    std::size_t underWay = 0;
};

Callers::Callers(Checker& checker, std::vector<std::string> addresses, const Options& options)
    : m_state(std::make_unique<State>(checker, std::move(addresses), options, *this))
{
}

Callers::~Callers() { stop(); }

auto Callers::start() -> void
{
    for (auto& caller : m_state->callers)
        m_state->pause(caller);
    for (const auto& caller : m_state->socketCallers)
        caller->start();
    m_state->thread = std::thread([this] { m_state->io.run(); });
}

auto Callers::stop() -> void
{
    m_state->isStopping = true;
    boost::asio::post(m_state->io, [this] {
        for (const auto& caller : m_state->socketCallers)
            caller->stop();
    });
    if (m_state->thread.joinable())
        m_state->thread.join();
}

} // namespace coriandergate::soak
