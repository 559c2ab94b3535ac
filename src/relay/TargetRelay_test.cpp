#include "relay/TargetRelay.h"

#include "fleet/LocalTarget.h"
#include "http/Exchange.h"
#include "net/HttpServer.h"
#include "relay/LocalPlacement.h"
#include "testing/EntryFixture.h"
#include "testing/RawServer.h"
#include "testing/RunUntil.h"

#include <array>
#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <set>
#include <utility>
#include <vector>

namespace coriandergate::relay {

using namespace std::chrono_literals;

namespace {

    // RelayFixture is a relay and its target, reached over loopback sockets.
    struct RelayFixture {
        RelayFixture()
            : targetServer(io, {}, [this](std::shared_ptr<http::Exchange> exchange) { serve(exchange); })
            , relayServer(
                  io, {}, [this](std::shared_ptr<http::Exchange> exchange) { relay->handle(std::move(exchange)); })
            , client(io, {})
        {
            Error reason;
            REQUIRE(targetServer.listen("127.0.0.1:0", reason));
            REQUIRE(relayServer.listen("127.0.0.1:0", reason));
            startRelay("127.0.0.1:" + std::to_string(targetServer.port()));
        }

        // Starts a relay for the target at `address`, in place of the one before.
        auto startRelay(const std::string& address) -> void
        {
            relay.reset();
            Error reason;
            target.emplace("ledger", address);
            REQUIRE(target->receive(
                        { .id = "i-1", .service = "ledger", .address = address, .startedAt = 1, .slots = 4 }, reason)
                == fleet::LocalTarget::HeartbeatResult::Changed);
            relay.emplace(io, *target, callRatio, TargetRelay::Options { .headers = names });
            relay->startAccepting();
            relay->onTargetChanged();
        }

        auto serve(const std::shared_ptr<http::Exchange>& exchange) -> void
        {
            ++runs;
            auto response = http::makeAnswer(status, "text/plain", "");
            if (rejects)
                response.headers.add(names.notExecuted, "1");
            response.headers.add(names.signature, "signed");
            if (echoesId)
                response.headers.add(names.requestId, exchange->request().headers.find(names.requestId).value_or(""));
            for (const auto& header : moreHeaders)
                response.headers.add(header.name, header.value);
            exchange->answer(std::move(response));
        }

        // Sends `bytes` and waits for the response. Uses the connection of `call`, or opens one and sets `call` when it
        // is 0.
        auto exchange(net::HttpClient::Call& call, std::string bytes) -> http::Answer
        {
            std::optional<net::HttpClient::Result> result;
            const auto store = [&result](net::HttpClient::Result received) { result = std::move(received); };
            bool isSent = true;
            if (call == 0)
                call = client.send("127.0.0.1:" + std::to_string(relayServer.port()), std::move(bytes),
                    { .timeout = 1s, .keepsConnection = true }, store);
            else
                isSent = client.sendNext(call, std::move(bytes), { .timeout = 1s, .keepsConnection = true }, store);
            REQUIRE(isSent);
            testing::runUntil(io, [&result] { return result.has_value(); });
            REQUIRE(result);
            REQUIRE(std::holds_alternative<http::Answer>(*result));
            return std::get<http::Answer>(*result);
        }

        auto reserve(net::HttpClient::Call& call, bool isIdempotent) -> http::Answer
        {
            return exchange(call,
                encodeReserveRequest({ .requestId = "r",
                    .service = "ledger",
                    .isIdempotent = isIdempotent,
                    .targetLatencyLeft = 1s,
                    .acceptsFailingTarget = acceptsFailingTarget }));
        }

        auto run(net::HttpClient::Call& call, bool isIdempotent, const std::string& id = "r",
            std::chrono::milliseconds timeLeft = 1s) -> http::Answer
        {
            http::Request request;
            request.method = "POST";
            request.target = "/orders/1";
            request.headers.add("Host", "shop.example");
            request.headers.add(names.requestId, id);
            return exchange(call,
                encodeRunRequest({ .request = request,
                    .requestId = id,
                    .isIdempotent = isIdempotent,
                    .timeLeft = timeLeft,
                    .targetLatencyLeft = 1s }));
        }

        boost::asio::io_context io;
        HeaderNames names { .requestId = "Request-Id",
            .deadline = "Deadline",
            .signature = "Signature",
            .clientAccount = "Account",
            .expectedTarget = "Expected-Target",
            .load = "Load",
            .notExecuted = "Not-Run",
            .callerService = "Caller-Service" };
        dispatch::CallRatio callRatio;
        std::optional<fleet::LocalTarget> target;
        std::optional<TargetRelay> relay;
        net::HttpServer targetServer;
        net::HttpServer relayServer;
        net::HttpClient client;
        int status = 200;
        bool rejects = false;
        bool echoesId = true;
        http::HeaderList moreHeaders; // of the target's response
        bool acceptsFailingTarget = false;
        int runs = 0;
    };

    auto outcome(const http::Answer& response) -> std::optional<RunOutcome>
    {
        return parseOutcome(response.headers.find(outcomeHeader).value_or(""));
    }

} // namespace

TEST_CASE("TargetRelay does not send a request to a target that failed after the slot was granted")
{
    RelayFixture fixture;
    net::HttpClient::Call first = 0;
    net::HttpClient::Call second = 0;
    REQUIRE(fixture.reserve(first, true).status == 200);
    REQUIRE(fixture.reserve(second, false).status == 200);
    fixture.status = 500;
    CHECK(fixture.run(first, true).status == 500);
    const auto response = fixture.run(second, false);
    CHECK(outcome(response) == RunOutcome::NotSent);
    CHECK(fixture.runs == 1);
}

// Guards against a caller that reads "not run" for a once-only request that its target executed.
TEST_CASE("TargetRelay takes no status alone for a statement that a once-only request was not executed")
{
    RelayFixture fixture;
    net::HttpClient::Call call = 0;
    fixture.status = GENERATE(408, 429, 503);
    REQUIRE(fixture.reserve(call, false).status == 200);
    const auto response = fixture.run(call, false);
    CHECK(outcome(response) == RunOutcome::MayHaveRun);
    CHECK(response.status == 502);
    CHECK_FALSE(response.headers.find(fixture.names.signature));
}

// Guards against a once-only request that fails because the address of its target belongs to another one by now.
TEST_CASE("TargetRelay takes 421 for a rejection, with and without the header")
{
    RelayFixture fixture;
    net::HttpClient::Call call = 0;
    fixture.status = 421;
    fixture.rejects = GENERATE(false, true);
    REQUIRE(fixture.reserve(call, GENERATE(false, true)).status == 200);
    CHECK(outcome(fixture.run(call, false)) == RunOutcome::NotRun);
}

TEST_CASE("TargetRelay returns the status of a target to an idempotent request as it is")
{
    RelayFixture fixture;
    net::HttpClient::Call call = 0;
    fixture.status = GENERATE(408, 429, 503);
    REQUIRE(fixture.reserve(call, true).status == 200);
    const auto response = fixture.run(call, true);
    CHECK(outcome(response) == RunOutcome::Answered);
    CHECK(response.status == fixture.status);
    CHECK(response.headers.find(fixture.names.signature));
}

// Guards against a request that runs twice: its target says in the daemons' own words that it was not sent.
TEST_CASE("TargetRelay does not pass on headers with which a target's response speaks for the daemon")
{
    RelayFixture fixture;
    net::HttpClient::Call call = 0;
    fixture.moreHeaders.add("coriandergate-outcome", outcomeName(GENERATE(RunOutcome::NotSent, RunOutcome::NotRun)));
    fixture.moreHeaders.add(loadHeader, "0,0,99,0,5000");
    fixture.moreHeaders.add(callsHeader, "stock=9");
    fixture.rejects = GENERATE(false, true);
    REQUIRE(fixture.reserve(call, false).status == 200);
    const auto response = fixture.run(call, false);
    CHECK(outcome(response) == (fixture.rejects ? RunOutcome::NotRun : RunOutcome::Answered));
    CHECK(response.headers.count(outcomeHeader) == 1);
    const auto load = decodeLoadReport(response.headers.find(loadHeader).value_or(""));
    REQUIRE(load);
    CHECK(load->load.slots == 4);
    CHECK(response.headers.count(loadHeader) == 1);
    CHECK(response.headers.count(callsHeader) == 0);
}

TEST_CASE("TargetRelay distinguishes a rejection by the target from a request that was never sent")
{
    RelayFixture fixture;
    net::HttpClient::Call call = 0;
    REQUIRE(fixture.reserve(call, false).status == 200);
    SECTION("the target rejects the request")
    {
        fixture.rejects = true;
        CHECK(outcome(fixture.run(call, false)) == RunOutcome::NotRun);
        CHECK(fixture.runs == 1);
    }
    SECTION("the rejection doesn't name the request, so it may be an earlier one that comes again")
    {
        fixture.rejects = true;
        fixture.echoesId = false;
        CHECK(outcome(fixture.run(call, false)) == RunOutcome::MayHaveRun);
    }
    SECTION("the target accepts no connections")
    {
        fixture.targetServer.finishDrain();
        CHECK(outcome(fixture.run(call, false)) == RunOutcome::NotSent);
        CHECK(fixture.runs == 0);
    }
}

namespace {

    // How an odd target handles one sending.
    enum class Oddity {
        Serve,
        Reject,
        RejectWithoutId,
        RejectTwice, // the copy comes before the response to the next request
        RejectAfterCopy, // a copy of the last rejection comes first
        ServeAfterCopy,
        ServeAfterCutCopy,
        ServeAfterCopyWithoutId,
        ServeThenExtraBytes,
        RejectWithSeveralIds, // after executing it
        ForgeOutcome, // after executing it
        ForgeStatus, // after executing it, a status alone that callers would take for a rejection
        Misdirected, // rejects it by status 421 alone
        CutServe,
        CutReject,
        InterimThenClose,
        Reset,
        Hang,
        End // the number of enumerators
    };

    struct Sending {
        Oddity oddity = Oddity::Serve;
        std::size_t cut = 0; // of the response or the copy that is cut
    };

    // OddTarget handles each sending as its script says, and records the ids of those that it executed.
    class OddTarget {
    public:
        OddTarget(boost::asio::io_context& io, std::vector<Sending> script)
            : m_script(std::move(script))
            , m_server(io, [this](const http::Request& request) { return respond(request); })
        {
        }

        [[nodiscard]] auto address() const -> std::string { return m_server.address(); }

        [[nodiscard]] auto hasExecuted(const std::string& id) const -> bool { return m_executed.count(id) > 0; }

    private:
        using Then = testing::RawServer::Then;

        struct Reply {
            std::string bytes;
            bool isExecuted = true;
            Then then = Then::Keep;
        };

        static auto served(const std::string& id, const std::string& headers = "") -> std::string
        {
            return "HTTP/1.1 200 OK\r\n" + headers + "Signature: signed\r\nRequest-Id: " + id
                + "\r\nContent-Length: 3\r\n\r\nran";
        }

        static auto rejected(const std::string& idHeaders) -> std::string
        {
            return "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nLoad: 1,0,4\r\n" + idHeaders
                + "Content-Length: 4\r\n\r\nfull";
        }

        auto makeReply(const Sending& sending, const std::string& id) -> Reply
        {
            const auto rejection = rejected("Request-Id: " + id + "\r\n");
            const auto copy = m_lastRejection.empty() ? rejected("Request-Id: before\r\n") : m_lastRejection;
            switch (sending.oddity) {
            case Oddity::Reject:
                m_lastRejection = rejection;
                return { rejection, false };
            case Oddity::RejectWithoutId:
                return { rejected(""), false };
            case Oddity::RejectTwice:
                m_lastRejection = rejection;
                return { rejection + rejection, false };
            case Oddity::RejectAfterCopy:
                return { copy + rejection, false };
            case Oddity::ServeAfterCopy:
                return { copy + served(id) };
            case Oddity::ServeAfterCutCopy:
                return { copy.substr(0, sending.cut % copy.size()) + served(id) };
            case Oddity::ServeAfterCopyWithoutId:
                return { rejected("") + served(id) };
            case Oddity::ServeThenExtraBytes:
                return { served(id) + copy };
            case Oddity::RejectWithSeveralIds:
                return { rejected("Request-Id: " + id + "\r\nRequest-Id: before\r\n") };
            case Oddity::ForgeOutcome:
                return { served(
                    id, std::string(outcomeHeader) + ": not-run\r\n" + std::string(loadHeader) + ": 0,0,4\r\n") };
            case Oddity::ForgeStatus: {
                const auto status = std::to_string(std::array { 408, 429, 503 }[sending.cut % 3]);
                return { "HTTP/1.1 " + status + served(id).substr(std::string_view("HTTP/1.1 200").size()) };
            }
            case Oddity::Misdirected:
                return { "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: " + id + "\r\nContent-Length: 0\r\n\r\n",
                    false };
            case Oddity::CutServe:
                return { served(id).substr(0, sending.cut % served(id).size()), true, Then::Close };
            case Oddity::CutReject:
                return { rejection.substr(0, sending.cut % rejection.size()), true, Then::Close };
            case Oddity::InterimThenClose:
                return { "HTTP/1.1 103 Early Hints\r\nNot-Run: 1\r\nRequest-Id: " + id + "\r\n\r\n", true,
                    Then::Close };
            case Oddity::Reset:
                return { "", true, Then::Reset };
            case Oddity::Hang:
                return { "" };
            case Oddity::Serve:
            case Oddity::End:
                break;
            }
            return { served(id) };
        }

        auto respond(const http::Request& request) -> testing::RawServer::Reply
        {
            const std::string id(request.headers.find("Request-Id").value_or(""));
            const auto reply = makeReply(m_script[std::min(m_next++, m_script.size() - 1)], id);
            if (reply.isExecuted)
                m_executed.insert(id);
            return { reply.bytes, reply.then };
        }

        std::vector<Sending> m_script;
        std::size_t m_next = 0;
        std::string m_lastRejection;
        std::set<std::string> m_executed;
        testing::RawServer m_server; // last, as it uses the others
    };

    // Sends one once-only request for each entry of the script, and returns the first untrue report of the relay.
    auto findUntruth(const std::vector<Sending>& script) -> std::string
    {
        RelayFixture fixture;
        OddTarget target(fixture.io, script);
        fixture.startRelay(target.address());
        fixture.acceptsFailingTarget = true;
        for (std::size_t i = 0; i < script.size(); ++i) {
            const auto oddity = script[i].oddity;
            const auto id = "r-" + std::to_string(i);
            net::HttpClient::Call call = 0;
            REQUIRE(fixture.reserve(call, false).status == 200);
            const auto response = fixture.run(call, false, id, oddity == Oddity::Hang ? 20ms : 60ms);
            const auto reported = outcome(response);
            const bool isReportedAsNotRun = reported == RunOutcome::NotSent || reported == RunOutcome::NotRun;
            const bool isTrue = !(isReportedAsNotRun && target.hasExecuted(id))
                && (reported == RunOutcome::Answered || response.status == 502 || response.status == 504
                    || isReportedAsNotRun)
                && (oddity != Oddity::Serve || reported == RunOutcome::Answered)
                && ((oddity != Oddity::Reject && oddity != Oddity::Misdirected) || reported == RunOutcome::NotRun);
            if (!isTrue)
                return "sending " + std::to_string(i) + ", oddity " + std::to_string(static_cast<int>(oddity))
                    + ", cut " + std::to_string(script[i].cut) + ": " + std::string(outcomeName(*reported));
        }
        return {};
    }

} // namespace

// Guards against a once-only request that runs twice, or is refused after it ran.
TEST_CASE("TargetRelay reports a request as not run only if the target did not execute it, whatever the target sends")
{
    constexpr auto oddities = static_cast<int>(Oddity::End);
    SECTION("each pair of oddities")
    {
        for (int first = 0; first < oddities; ++first) {
            for (int second = 0; second < oddities; ++second)
                CHECK(
                    findUntruth({ { static_cast<Oddity>(first), 61 }, { static_cast<Oddity>(second), 47 }, {} }) == "");
        }
    }
    SECTION("a copy of a rejection is cut at any byte and runs into the response")
    {
        for (std::size_t cut = 0; cut < 130; ++cut)
            CHECK(findUntruth({ { Oddity::Reject, 0 }, { Oddity::ServeAfterCutCopy, cut }, {} }) == "");
    }
    SECTION("random sequences")
    {
        CHECK(rc::check([] {
            const auto choices = *rc::gen::container<std::vector<std::pair<int, int>>>(
                rc::gen::pair(rc::gen::inRange(0, oddities), rc::gen::inRange(0, 150)));
            std::vector<Sending> script;
            for (const auto& [oddity, cut] : choices)
                script.push_back({ static_cast<Oddity>(oddity), static_cast<std::size_t>(cut) });
            RC_ASSERT(findUntruth(script) == "");
        }));
    }
}

TEST_CASE("TargetRelay counts the responses that its target sends after the end of a request")
{
    RelayFixture fixture;
    OddTarget target(fixture.io, { { Oddity::Reject, 0 }, { Oddity::ServeAfterCopy, 0 }, { Oddity::Serve, 0 } });
    fixture.startRelay(target.address());
    for (const auto* id : { "r-1", "r-2", "r-3" }) {
        net::HttpClient::Call call = 0;
        REQUIRE(fixture.reserve(call, false).status == 200);
        fixture.run(call, false, id, 1s);
    }
    CHECK(fixture.relay->lateResponses() == 1);
}

// Guards against a request that runs twice: it comes again, on another connection, while the target executes it.
TEST_CASE("TargetRelay states that a request was not sent only if its slot was granted on the same connection")
{
    RelayFixture fixture;
    net::HttpClient::Call call = 0;
    SECTION("no slot was granted") { CHECK(outcome(fixture.run(call, false)) == RunOutcome::MayHaveRun); }
    SECTION("the slot was used")
    {
        REQUIRE(fixture.reserve(call, false).status == 200);
        CHECK(outcome(fixture.run(call, false)) == RunOutcome::Answered);
        CHECK(outcome(fixture.run(call, false)) == RunOutcome::MayHaveRun);
        CHECK(fixture.runs == 1);
    }
    SECTION("the granted slot was released after a timeout")
    {
        REQUIRE(fixture.reserve(call, false).status == 200);
        REQUIRE(testing::runUntil(fixture.io, [&fixture] { return fixture.relay->running() == 0; }));
        CHECK(outcome(fixture.run(call, false)) == RunOutcome::NotSent);
        CHECK(fixture.runs == 0);
    }
}

TEST_CASE("TargetRelay refuses what waits, comes or was granted a slot once its data centre is evacuated")
{
    RelayFixture fixture;
    testing::EntryFixture host;
    const LocalPlacement placement(host.context);
    fixture.relay->setPlacement(placement);
    fixture.relay->onEvacuationsChanged();
    std::array<net::HttpClient::Call, 5> calls {};
    for (std::size_t i = 0; i < 4; ++i)
        REQUIRE(fixture.reserve(calls[i], false).status == 200);
    CHECK(outcome(fixture.run(calls[0], false)) == RunOutcome::Answered);
    REQUIRE(fixture.reserve(calls[0], false).status == 200);
    std::optional<net::HttpClient::Result> waiting;
    fixture.client.send("127.0.0.1:" + std::to_string(fixture.relayServer.port()),
        encodeReserveRequest({ .requestId = "w", .service = "ledger", .targetLatencyLeft = 1s, .maximumWait = 1s }),
        { .timeout = 2s }, [&waiting](net::HttpClient::Result result) { waiting = std::move(result); });
    testing::runUntil(fixture.io, [&] { return fixture.relay->loadReport(monotonicNow()).load.waiting == 1; });
    CHECK_FALSE(waiting);
    const auto before = monotonicNow();
    host.context.evacuations.begin(testing::EntryFixture::s_locality.dataCentre, monotonicNow());
    fixture.relay->onEvacuationsChanged();
    testing::runUntil(fixture.io, [&] { return waiting.has_value(); });
    CHECK(std::get<http::Answer>(*waiting).status == 503);
    CHECK(monotonicNow() - before < 500ms); // rather than when its wait is over
    CHECK(outcome(fixture.run(calls[1], false)) == RunOutcome::NotSent);
    CHECK(outcome(fixture.reserve(calls[4], true)) == RunOutcome::NotSent);
    CHECK(fixture.runs == 1);
    host.context.evacuations.end(testing::EntryFixture::s_locality.dataCentre, monotonicNow());
    fixture.relay->onEvacuationsChanged();
    CHECK(outcome(fixture.run(calls[2], false)) == RunOutcome::Answered);
    CHECK(fixture.runs == 2);
}

} // namespace coriandergate::relay
