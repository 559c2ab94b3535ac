#include "relay/EntryRequest.h"

#include "http/Exchange.h"
#include "http/Serialize.h"
#include "net/HttpServer.h"
#include "testing/EntryParts.h"
#include "testing/RunUntil.h"

#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <utility>

namespace coriandergate::relay {

using namespace std::chrono_literals;

namespace {

    // An entry, and the daemon beside the only target, which refuses every slot and keeps what it was asked.
    struct Entry : testing::EntryParts {
        Entry()
            : owner(io, {}, [this](std::shared_ptr<http::Exchange> exchange) { refuse(exchange); })
            , callers(io, {}, [this](std::shared_ptr<http::Exchange> exchange) {
                relay::EntryRequest::start(context, std::move(exchange));
            })
        {
            Error reason;
            REQUIRE(owner.listen("127.0.0.1:0", reason));
            REQUIRE(callers.listen("127.0.0.1:0", reason));
            context.headers = { .requestId = "Request-Id", .deadline = "Deadline", .retryAfter = "Retry-After" };
            context.snapshot = std::make_shared<const PolicySnapshot>(makeConfiguration());
            board.setTargets({ { .address = "127.0.0.1:" + std::to_string(owner.port()),
                .service = "stock",
                .locality = s_here,
                .slots = 4 } });
        }

        // Sheets are read by callers; notes are what targets call each other for.
        static auto makeConfiguration() -> config::Configuration
        {
            config::Configuration configuration;
            configuration.version = 1;
            configuration.routes.push_back({ .name = "notes",
                .host = "shop.example",
                .pathPrefix = "/notes/",
                .service = "stock",
                .isOpen = true,
                .repeatPolicy = config::RepeatPolicy::Idempotent,
                .targetLatency = 200ms,
                .priority = 3 });
            configuration.routes.push_back({ .name = "sheets",
                .host = "shop.example",
                .pathPrefix = "/sheets/",
                .service = "stock",
                .priority = 1 });
            configuration.clientAccounts.push_back({ .name = "shop" });
            return configuration;
        }

        auto refuse(const std::shared_ptr<http::Exchange>& exchange) -> void
        {
            Error reason;
            asked.push_back(decodeReserveRequest(exchange->request().body, reason).value_or(ReserveRequest {}));
            exchange->answer(http::makeAnswer(503, "text/plain", std::string(noSlotInTime)));
        }

        // A daemon whose attempts end like `outcome`; the targets it stands for have a slot.
        auto addOwner(RunOutcome outcome) -> void
        {
            others.push_back(
                std::make_unique<net::HttpServer>(io, net::HttpServer::Options {}, [this, outcome](auto exchange) {
                    const bool isRun = exchange->request().target == runPath;
                    runs += isRun ? 1 : 0;
                    const bool isGood = !isRun || outcome == RunOutcome::Answered;
                    auto answer = http::makeAnswer(isGood ? 200 : 503, "text/plain", "");
                    answer.headers.add(outcomeHeader, outcomeName(outcome));
                    answer.headers.add(loadHeader, encodeLoadReport({ .load = { .slots = 4 } }));
                    exchange->answer(std::move(answer));
                }));
            Error reason;
            REQUIRE(others.back()->listen("127.0.0.1:0", reason));
            std::vector<dispatch::TargetBoard::Description> targets;
            for (const auto& other : others)
                targets.push_back({ .address = "127.0.0.1:" + std::to_string(other->port()),
                    .service = "stock",
                    .locality = s_here,
                    .slots = 4 });
            board.setTargets(targets);
        }

        auto ask(const std::string& path) -> http::Answer
        {
            http::Request request;
            request.method = "GET";
            request.target = path;
            request.headers.add("Host", "shop.example");
            request.headers.add("Request-Id", "r-1");
            std::optional<net::HttpClient::Result> result;
            hops.send("127.0.0.1:" + std::to_string(callers.port()), http::serializeRequest(request), { .timeout = 3s },
                [&result](net::HttpClient::Result given) { result = std::move(given); });
            testing::runUntil(
                io, [&result] { return result.has_value(); }, 4s);
            REQUIRE(result);
            REQUIRE(std::holds_alternative<http::Answer>(*result));
            return std::get<http::Answer>(*result);
        }

        // Calls `action` after `delay`, while a request is waited for.
        auto afterwards(std::chrono::milliseconds delay, std::function<void()> action) -> void
        {
            timer.expires_after(delay);
            timer.async_wait([action = std::move(action)](const boost::system::error_code&) { action(); });
        }

        std::vector<std::unique_ptr<net::HttpServer>> others;
        int runs = 0;
        std::vector<ReserveRequest> asked;
        boost::asio::steady_timer timer { io };
        net::HttpServer owner;
        net::HttpServer callers;
    };

} // namespace

// Load pattern: a service that serves callers and the calls of other services' runs is full. The naive way lets a call
// wait by its route's priority; refused, it takes the run that made it with it.
TEST_CASE("a call of a target waits with the most urgent requests of the service")
{
    Entry entry;
    entry.ask("/notes/1");
    REQUIRE_FALSE(entry.asked.empty());
    for (const auto& ask : entry.asked)
        CHECK(ask.priority == 1);
}

TEST_CASE("a request that finds no slot is refused at once, with a time to come back")
{
    Entry entry;
    const auto before = std::chrono::steady_clock::now();
    const auto answer = entry.ask("/notes/1");
    CHECK(answer.status == 503);
    CHECK(answer.headers.find("Retry-After"));
    CHECK(std::chrono::steady_clock::now() - before < 150ms); // well before its 200 ms are over
}

// Load pattern: every target of a service refuses some requests while others of it take no connections. The naive way
// counts what never reached a target as an attempt, and refuses requests for want of further ones.
TEST_CASE("an attempt that never reached its target uses up none of the budget")
{
    Entry entry;
    entry.context.hostCount = 100000; // no part of the allowance is left to this one
    const auto first = GENERATE(RunOutcome::NotSent, RunOutcome::NotRun);
    entry.addOwner(first);
    entry.addOwner(first);
    entry.addOwner(RunOutcome::Answered);
    int served = 0;
    constexpr int requests = 30;
    for (int i = 0; i < requests; ++i)
        served += entry.ask("/notes/1").status == 200 ? 1 : 0;
    if (first == RunOutcome::NotSent) {
        CHECK(served == requests);
        CHECK(entry.context.counters.retries == 0);
    } else {
        CHECK(served < requests); // a refusal is an arrival, and a further one needs the budget
    }
}

// Load pattern: all daemons are started again while callers go on. The naive way refuses what comes before the store's
// first answers, a quarter of a second later, and all of it comes back at once.
TEST_CASE("a request that comes before the first news waits for it")
{
    Entry entry;
    entry.context.isReady = false;
    const auto snapshot = std::exchange(entry.context.snapshot, nullptr);
    entry.context.startedAt = monotonicNow();
    entry.afterwards(100ms, [&] {
        CHECK(entry.asked.empty());
        entry.context.snapshot = snapshot;
        entry.context.markReady();
    });
    CHECK(entry.ask("/notes/1").status == 503); // of the target, which has no slot
    CHECK_FALSE(entry.asked.empty());
}

TEST_CASE("while no news comes after a start requests are refused as not run, first after a wait and then at once")
{
    Entry entry;
    entry.context.isReady = false;
    entry.context.snapshot = nullptr;
    entry.context.options.startupWait = 200ms;
    entry.context.startedAt = monotonicNow();
    for (const bool isEarly : { true, false }) {
        const auto before = monotonicNow();
        const auto answer = entry.ask("/notes/1");
        CHECK(answer.status == 503);
        CHECK(answer.headers.find("Retry-After"));
        CHECK((monotonicNow() - before >= 150ms) == isEarly);
    }
    CHECK(entry.asked.empty());
}

TEST_CASE("a request with a key is refused as not run while no fresh news of the keys is known")
{
    Entry entry;
    const auto answer = entry.ask("/sheets/1");
    CHECK(answer.status == 503);
    CHECK(answer.headers.find("Retry-After"));
    CHECK(entry.asked.empty());
}

} // namespace coriandergate::relay
