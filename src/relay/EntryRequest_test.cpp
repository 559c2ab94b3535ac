#include "relay/EntryRequest.h"

#include "base/Hash.h"
#include "fleet/CrashRow.h"
#include "http/Exchange.h"
#include "http/Serialize.h"
#include "net/HttpServer.h"
#include "testing/EntryFixture.h"
#include "testing/RunUntil.h"

#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <thread>
#include <utility>

namespace coriandergate::relay {

using namespace std::chrono_literals;

namespace {

    // An entry and the peer of its only target. The peer refuses every slot and records the requests for one.
    struct Entry : testing::EntryFixture {
        Entry()
            : refusingPeer(io, {}, [this](std::shared_ptr<http::Exchange> exchange) { refuse(exchange); })
            , callerServer(io, {}, [this](std::shared_ptr<http::Exchange> exchange) {
                relay::EntryRequest::start(context, std::move(exchange));
            })
        {
            Error reason;
            REQUIRE(refusingPeer.listen("127.0.0.1:0", reason));
            REQUIRE(callerServer.listen("127.0.0.1:0", reason));
            context.headers = { .requestId = "Request-Id", .deadline = "Deadline", .retryAfter = "Retry-After" };
            context.snapshot = std::make_shared<const PolicySnapshot>(makeConfiguration());
            loadBalancer.setTargets({ { .address = "127.0.0.1:" + std::to_string(refusingPeer.port()),
                .service = "stock",
                .locality = s_locality,
                .slots = 4 } });
        }

        // Callers use the route "sheets"; targets use the open routes "notes" and "orders" to call each other. Only
        // requests of "notes" may run more than once.
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
                .maximumAttempts = 2,
                .priority = 3 });
            configuration.routes.push_back({ .name = "orders",
                .host = "shop.example",
                .pathPrefix = "/orders/",
                .service = "stock",
                .isOpen = true,
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
            reservations.push_back(decodeReserveRequest(exchange->request().body, reason).value_or(ReserveRequest {}));
            if (isSilent) {
                unanswered.push_back(exchange);
                return;
            }
            exchange->answer(http::makeAnswer(503, "text/plain", std::string(noSlotInTime)));
        }

        // Adds a peer that grants every slot and reports `outcome` for every attempt, or nothing if it is null. Such
        // peers replace the one that refuses.
        auto addPeer(std::optional<RunOutcome> outcome, const net::HttpServer::Options& options = {}) -> void
        {
            peers.push_back(std::make_unique<net::HttpServer>(io, options, [this, outcome](auto exchange) {
                const bool isRun = exchange->request().target == runPath;
                runRequests += isRun ? 1 : 0;
                if (isRun && onRun)
                    onRun();
                const bool isSuccess = !isRun || outcome == RunOutcome::Answered;
                auto response = http::makeAnswer(!isSuccess ? 503 : isRun ? answeredStatus : 200, "text/plain", "");
                response.headers = moreHeaders;
                if (outcome)
                    response.headers.add(outcomeHeader, outcomeName(*outcome));
                response.headers.add(loadHeader, encodeLoadReport({ .load = { .slots = 4 } }));
                exchange->answer(std::move(response));
            }));
            Error reason;
            REQUIRE(peers.back()->listen("127.0.0.1:0", reason));
            std::vector<dispatch::LoadBalancer::Description> targets;
            for (const auto& peer : peers)
                targets.push_back(describe(*peer, "", ""));
            loadBalancer.setTargets(targets);
        }

        static auto describe(const net::HttpServer& peer, const std::string& hostKey, const std::string& targetId)
            -> dispatch::LoadBalancer::Description
        {
            return { .address = "127.0.0.1:" + std::to_string(peer.port()),
                .hostKey = hostKey,
                .targetId = targetId,
                .service = "stock",
                .locality = s_locality,
                .slots = 4 };
        }

        // fingerprint() is that of request(path).
        static auto fingerprint(const std::string& path) -> std::uint64_t
        {
            return hashOf("", hashOf("GET shop.example" + path));
        }

        auto startRequest(const std::string& path, net::HttpClient::Callback done) -> net::HttpClient::Call
        {
            http::Request message;
            message.method = "GET";
            message.target = path;
            message.headers.add("Host", "shop.example");
            message.headers.add("Request-Id", "r-1");
            return peerClient.send("127.0.0.1:" + std::to_string(callerServer.port()), http::serializeRequest(message),
                { .timeout = 3s }, std::move(done));
        }

        auto request(const std::string& path) -> http::Answer
        {
            std::optional<net::HttpClient::Result> result;
            startRequest(path, [&result](net::HttpClient::Result received) { result = std::move(received); });
            testing::runUntil(
                io, [&result] { return result.has_value(); }, 4s);
            REQUIRE(result);
            REQUIRE(std::holds_alternative<http::Answer>(*result));
            return std::get<http::Answer>(*result);
        }

        // Calls `action` after `delay`, while request() waits for its response.
        auto runAfter(std::chrono::milliseconds delay, std::function<void()> action) -> void
        {
            timer.expires_after(delay);
            timer.async_wait([action = std::move(action)](const boost::system::error_code&) { action(); });
        }

        std::vector<std::unique_ptr<net::HttpServer>> peers;
        int runRequests = 0;
        int answeredStatus = 200; // of attempts that a target answered
        http::HeaderList moreHeaders; // of all responses of the peers, before their own
        std::function<void()> onRun; // called before a peer responds to an attempt
        bool isSilent = false; // the refusing peer doesn't respond
        std::vector<std::shared_ptr<http::Exchange>> unanswered;
        std::vector<ReserveRequest> reservations;
        boost::asio::steady_timer timer { io };
        net::HttpServer refusingPeer;
        net::HttpServer callerServer;
    };

} // namespace

// Guards against lost work when a service that serves both callers and other services is full: a call from another
// service that queues by the priority of its own route is refused, and the request that made the call fails with it.
TEST_CASE("EntryRequest gives calls from targets the highest priority of the service")
{
    Entry entry;
    entry.request("/notes/1");
    REQUIRE_FALSE(entry.reservations.empty());
    for (const auto& reservation : entry.reservations)
        CHECK(reservation.priority == 1);
}

TEST_CASE("EntryRequest refuses a request without a slot at once, with Retry-After")
{
    Entry entry;
    const auto before = std::chrono::steady_clock::now();
    const auto response = entry.request("/notes/1");
    CHECK(response.status == 503);
    CHECK(response.headers.find("Retry-After"));
    CHECK(std::chrono::steady_clock::now() - before < 150ms); // well within the target latency of 200 ms
}

// Guards against charging the retry budget for attempts that never reached a target. When some targets of a service
// reject requests and others accept no connections, the budget would run out and requests would be refused.
TEST_CASE("EntryRequest does not charge the retry budget for an attempt that was never sent to a target")
{
    Entry entry;
    entry.context.hostCount = 100000; // leaves this host no share of the retry budget
    const auto outcome = GENERATE(RunOutcome::NotSent, RunOutcome::NotRun);
    entry.addPeer(outcome);
    entry.addPeer(outcome);
    entry.addPeer(RunOutcome::Answered);
    int succeeded = 0;
    constexpr int requests = 30;
    for (int i = 0; i < requests; ++i)
        succeeded += entry.request("/notes/1").status == 200 ? 1 : 0;
    if (outcome == RunOutcome::NotSent) {
        CHECK(succeeded == requests);
        CHECK(entry.context.counters.retries == 0);
    } else {
        CHECK(succeeded < requests); // a rejected request reached the target, so its retry needs the budget
    }
}

// Guards against a request that runs twice, or is refused after it ran: a target that rejected it and gets it again may
// send the rejection once more while it executes the request.
TEST_CASE("EntryRequest never sends a request again to a target that rejected it")
{
    Entry entry;
    const std::size_t targets = GENERATE(1U, 2U);
    for (std::size_t i = 0; i < targets; ++i)
        entry.addPeer(RunOutcome::NotRun);
    const auto before = monotonicNow();
    const auto response = entry.request("/notes/1");
    CHECK(response.status == 503);
    CHECK(response.headers.find("Retry-After"));
    CHECK(entry.runRequests == static_cast<int>(targets));
    CHECK(monotonicNow() - before < 150ms); // no target is left, so it does not wait for the target latency of 200 ms
}

// Guards against the same, if the daemon beside the target has moved to another address since.
TEST_CASE("EntryRequest never sends a request again to a target that rejected it, at whatever address")
{
    Entry entry;
    entry.addPeer(RunOutcome::Answered);
    entry.addPeer(RunOutcome::NotRun);
    entry.loadBalancer.setTargets({ Entry::describe(*entry.peers[1], "host-1", "i-1") });
    const auto [hostKey, targetId]
        = GENERATE(table<const char*, const char*>({ { "host-2", "i-1" }, { "host-1", "i-2" }, { "host-2", "i-2" } }));
    const bool isOther = std::string(hostKey) == "host-2" && std::string(targetId) == "i-2";
    entry.onRun = [&entry, moved = Entry::describe(*entry.peers[0], hostKey, targetId)] {
        entry.loadBalancer.setTargets({ moved });
    };
    CHECK(entry.request("/notes/1").status == (isOther ? 200 : 503));
    CHECK(entry.runRequests == (isOther ? 2 : 1));
}

// Guards against the same, if the address belongs to another host by the time of the rejection.
TEST_CASE("EntryRequest counts a rejection for the target that was asked, whoever has its address by then")
{
    Entry entry;
    entry.addPeer(RunOutcome::Answered);
    entry.addPeer(RunOutcome::NotRun);
    entry.loadBalancer.setTargets({ Entry::describe(*entry.peers[1], "host-1", "i-1") });
    entry.onRun = [&entry, moved = Entry::describe(*entry.peers[0], "host-1", "i-1"),
                      other = Entry::describe(*entry.peers[1], "host-2", "i-2")] {
        entry.loadBalancer.setTargets({ moved, other });
    };
    CHECK(entry.request("/orders/1").status == 503);
    CHECK(entry.runRequests == 1);
}

// Guards against a request that runs twice, because something on the way to a peer refuses it after the peer got it.
TEST_CASE("EntryRequest takes only a peer's statement for proof that a request was not sent to the target")
{
    Entry entry;
    SECTION("a refusal without the statement")
    {
        entry.addPeer(std::nullopt);
        entry.addPeer(std::nullopt);
        CHECK(entry.request("/orders/1").status == 502);
        CHECK(entry.runRequests == 1);
    }
    SECTION("two statements, of which one may be the target's")
    {
        entry.addPeer(RunOutcome::Answered);
        entry.moreHeaders.add(outcomeHeader, outcomeName(GENERATE(RunOutcome::NotSent, RunOutcome::NotRun)));
        CHECK(entry.request("/orders/1").status == 502);
        CHECK(entry.runRequests == 1);
    }
    SECTION("the peer's server refuses a message that it has no room for")
    {
        constexpr std::size_t roomForReservation = 50;
        entry.addPeer(
            RunOutcome::Answered, { .maximumBodyBytes = roomForReservation, .refusalHeaders = unreadRequestHeaders() });
        CHECK(entry.request("/orders/1").status == 503);
        CHECK(entry.runRequests == 0);
    }
}

// Guards against a caller that reads "not run" for a request that ran, while daemons of two versions are in use.
TEST_CASE("EntryRequest takes no status that a peer passes on for a statement that a once-only request was not run")
{
    Entry entry;
    entry.answeredStatus = GENERATE(408, 421, 429, 503);
    entry.addPeer(RunOutcome::Answered);
    CHECK(entry.request("/orders/1").status == 502);
    CHECK(entry.runRequests == 1);
    CHECK(entry.request("/notes/1").status == entry.answeredStatus); // may run more than once
}

// Guards against a request that crashes one target after another for as long as its callers repeat it.
TEST_CASE("EntryRequest does not retry a request that has crashed several targets, until a target answers it")
{
    Entry entry;
    entry.directory.apply({ testing::makeHostRow("self", 1, Entry::s_locality) }, true);
    for (std::size_t i = 0; i < 4; ++i)
        entry.addPeer(RunOutcome::ConnectionLost);
    CHECK(entry.request("/notes/crash").status == 502);
    CHECK(entry.runRequests == 2);
    entry.crashRegistry.record(
        { .fingerprint = Entry::fingerprint("/notes/crash"), .target = "of another entry" }, monotonicNow());
    entry.runRequests = 0;
    for (int i = 0; i < 6; ++i)
        CHECK(entry.request("/notes/crash").status == 502);
    CHECK(entry.runRequests == 6);
    entry.runRequests = 0;
    entry.request("/notes/another");
    CHECK(entry.runRequests == 2);

    SECTION("the mark of another host holds for every further attempt, whatever the first one came to")
    {
        entry.runRequests = 0;
        entry.peers.clear();
        entry.addPeer(RunOutcome::NotRun);
        entry.addPeer(RunOutcome::NotRun);
        REQUIRE(entry.request("/notes/marked").status == 503);
        REQUIRE(entry.runRequests == 2);
        entry.directory.apply({ { fleet::crashRowKey("east", Entry::fingerprint("/notes/marked")),
                                  fleet::encodeCrashRow(9s), 5, false } },
            false);
        entry.runRequests = 0;
        CHECK(entry.request("/notes/marked").status == 503);
        CHECK(entry.runRequests == 1);
    }
    SECTION("a target answers it")
    {
        entry.peers.clear();
        entry.addPeer(RunOutcome::Answered);
        entry.directory.apply(
            { { fleet::crashRowKey("east", Entry::fingerprint("/notes/crash")), fleet::encodeCrashRow(9s), 5, false } },
            false);
        CHECK(entry.request("/notes/crash").status == 200);
        REQUIRE(entry.store.otherWrites.size() == 1);
        CHECK(entry.store.otherWrites[0].expectedVersion == 5);
        CHECK_FALSE(entry.store.otherWrites[0].value);
    }
}

// Guards against a burst of retries when all daemons restart under load: requests that are refused until the store's
// first response, a quarter of a second later, would all be retried at the same time.
TEST_CASE("EntryRequest waits for the first configuration and host list after a start")
{
    Entry entry;
    entry.context.isReady = false;
    const auto snapshot = std::exchange(entry.context.snapshot, nullptr);
    entry.context.startedAt = monotonicNow();
    entry.runAfter(100ms, [&] {
        CHECK(entry.reservations.empty());
        entry.context.snapshot = snapshot;
        entry.context.markReady();
    });
    CHECK(entry.request("/notes/1").status == 503); // from the peer, whose target has no slot
    CHECK_FALSE(entry.reservations.empty());
}

TEST_CASE("EntryRequest refuses requests after the startup wait when no configuration arrives, and later ones at once")
{
    Entry entry;
    entry.context.isReady = false;
    entry.context.snapshot = nullptr;
    entry.context.options.startupWait = 200ms;
    entry.context.startedAt = monotonicNow();
    for (const bool isDuringStartup : { true, false }) {
        const auto before = monotonicNow();
        const auto response = entry.request("/notes/1");
        CHECK(response.status == 503);
        CHECK(response.headers.find("Retry-After"));
        CHECK((monotonicNow() - before >= 150ms) == isDuringStartup);
    }
    CHECK(entry.reservations.empty());
}

// Guards against a request that runs twice, or after its caller has left, because two events end its wait for the
// configuration.
TEST_CASE("EntryRequest forwards a request that waited for the configuration once, and never after its caller left")
{
    Entry entry;
    entry.addPeer(RunOutcome::Answered);
    entry.context.isReady = false;
    entry.context.options.startupWait = 100ms;
    entry.context.startedAt = monotonicNow();
    const auto call = entry.startRequest("/notes/1", [](const net::HttpClient::Result&) {});
    testing::runUntil(entry.io, [&entry] { return !entry.context.pendingRequests.empty(); });
    REQUIRE(entry.context.pendingRequests.size() == 1);
    const bool callerLeaves = GENERATE(true, false);
    if (callerLeaves) {
        entry.peerClient.cancel(call);
        testing::runUntil(
            entry.io, [] { return false; }, 20ms);
    }
    std::this_thread::sleep_for(120ms); // the end of the wait is due when the configuration comes
    entry.context.markReady();
    testing::runUntil(
        entry.io, [] { return false; }, 300ms);
    CHECK(entry.runRequests == (callerLeaves ? 0 : 1));
}

// Guards against a configuration without client accounts that opens every route of a deployment that has some.
TEST_CASE(
    "EntryRequest requires a key where the deployment has client accounts, also when the configuration lists none")
{
    Entry entry;
    auto configuration = Entry::makeConfiguration();
    configuration.clientAccounts.clear();
    SECTION("the settings say that the deployment has client accounts")
    {
        entry.context.options.requiresApiKeys = true;
    }
    SECTION("the configuration has an empty list of client accounts") { configuration.requiresApiKeys = true; }
    entry.context.snapshot = std::make_shared<const PolicySnapshot>(configuration);
    const auto now = SuspendAwareClock::now();
    entry.freshness.recordResponse(now, now, 1s);
    CHECK(entry.request("/sheets/1").status == 401);
    CHECK(entry.reservations.empty());
}

// Guards against a crash at the end of a planned stop: the io_context destroys its last handlers, and the requests that
// they hold, after the context of the requests.
TEST_CASE("EntryRequest may outlive its context, in a handler that is destroyed with the io_context")
{
    std::shared_ptr<boost::asio::io_context> io;
    std::weak_ptr<EntryContext::OpenRequests> openRequests;
    {
        Entry entry;
        io = entry.ownedIo;
        openRequests = entry.context.openRequests;
        entry.isSilent = true;
        entry.startRequest("/notes/1", [](const net::HttpClient::Result&) {});
        testing::runUntil(*io, [&entry] { return !entry.reservations.empty(); });
        REQUIRE(entry.context.openRequests->size() == 1);
    }
    REQUIRE_FALSE(openRequests.expired());
    CHECK(openRequests.lock()->size() == 1);
    io.reset();
    CHECK(openRequests.expired());
}

TEST_CASE("EntryRequest that waits for the first configuration does nothing after its context is destroyed")
{
    auto entry = std::make_unique<testing::EntryFixture>();
    const auto io = entry->ownedIo;
    entry->context.isReady = false;
    entry->context.options.startupWait = 20ms;
    bool isAnswered = false;
    auto exchange = std::make_shared<http::Exchange>(
        http::Request {}, "caller", 0, [&isAnswered](const http::Answer&) { isAnswered = true; });
    EntryRequest::start(entry->context, exchange);
    entry.reset();
    io->run_for(100ms);
    CHECK_FALSE(isAnswered);
    exchange->abandon();
}

TEST_CASE("EntryRequest refuses a request that needs a key while the configuration is not known to be fresh")
{
    Entry entry;
    const auto response = entry.request("/sheets/1");
    CHECK(response.status == 503);
    CHECK(response.headers.find("Retry-After"));
    CHECK(entry.reservations.empty());
}

} // namespace coriandergate::relay
