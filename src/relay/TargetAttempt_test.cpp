#include "relay/TargetAttempt.h"

#include "http/Exchange.h"
#include "net/HttpServer.h"
#include "testing/EntryFixture.h"
#include "testing/RunUntil.h"

#include <catch2/catch.hpp>

namespace coriandergate::relay {

using namespace std::chrono_literals;

namespace {

    // An entry and one peer, which responds to reservations with `slotStatus` and `slotBody`, and to runs with
    // `outcome`; it responds to nothing while it is silent.
    struct OnePeer : testing::EntryFixture {
        OnePeer()
            : peer(io, {}, [this](std::shared_ptr<http::Exchange> exchange) { handle(exchange); })
        {
            Error reason;
            REQUIRE(peer.listen("127.0.0.1:0", reason));
            peer.onConnectionClosed([this](const std::string&) { ++closedConnections; });
            loadBalancer.setTargets({ { .address = "127.0.0.1:" + std::to_string(peer.port()),
                .targetId = "t-1",
                .service = "stock",
                .locality = s_locality,
                .slots = 4 } });
        }

        auto handle(const std::shared_ptr<http::Exchange>& exchange) -> void
        {
            ++messages;
            held = exchange;
            if (isSilent)
                return;
            const bool isRun = exchange->request().target == runPath;
            auto response = http::makeAnswer(isRun ? 200 : slotStatus, "text/plain", isRun ? "whole" : slotBody);
            if (isRun)
                response.headers.add(outcomeHeader, outcomeName(outcome));
            response.headers.add(loadHeader, encodeLoadReport({ .load = { .running = 3, .slots = 4 } }));
            exchange->answer(std::move(response));
        }

        auto target() -> dispatch::LoadBalancer::TargetPointer { return loadBalancer.targets("stock").front(); }

        auto makeAttempt() -> std::unique_ptr<TargetAttempt>
        {
            return std::make_unique<TargetAttempt>(context, target(), "r-1");
        }

        auto reserve(TargetAttempt& attempt) -> TargetAttempt::SlotResult
        {
            std::optional<TargetAttempt::SlotResult> result;
            attempt.reserve({ .requestId = "r-1", .service = "stock" },
                [&result](const TargetAttempt::SlotResult& slot) { result = slot; });
            REQUIRE(testing::runUntil(io, [&] { return result.has_value(); }));
            return *result;
        }

        net::HttpServer peer;
        std::shared_ptr<http::Exchange> held;
        int slotStatus = 200;
        std::string slotBody;
        RunOutcome outcome = RunOutcome::Answered;
        bool isSilent = false;
        int messages = 0;
        int closedConnections = 0;
    };

} // namespace

TEST_CASE_METHOD(OnePeer, "an attempt counts at its target for as long as it exists, and takes over the reported load")
{
    auto attempt = makeAttempt();
    CHECK(target()->inFlight == 1);
    CHECK(std::holds_alternative<TargetAttempt::SlotGranted>(reserve(*attempt)));
    CHECK(target()->load.running == 3);
    attempt = nullptr;
    CHECK(target()->inFlight == 0);
    CHECK(testing::runUntil(io, [&] { return closedConnections == 1; })); // which gives the slot back
}

TEST_CASE_METHOD(OnePeer, "a target that refuses for another reason than the lack of a slot is avoided for a while")
{
    slotStatus = 503;
    const auto attempt = makeAttempt();
    SECTION("no slot")
    {
        slotBody = noSlotInTime;
        CHECK(std::get<TargetAttempt::SlotRefused>(reserve(*attempt)).reason == noSlotInTime);
        CHECK(target()->unavailableUntil < monotonicNow());
    }
    SECTION("a drain")
    {
        slotBody = "target leaves";
        CHECK(std::get<TargetAttempt::SlotRefused>(reserve(*attempt)).reason == "target leaves");
        CHECK(target()->unavailableUntil > monotonicNow());
    }
}

TEST_CASE_METHOD(OnePeer, "a peer that doesn't respond is a path failure")
{
    isSilent = true;
    context.options.peerTimeout = 20ms;
    const auto attempt = makeAttempt();
    const auto result = reserve(*attempt);
    CHECK(std::get<TargetAttempt::PathFailed>(result).failure.wasTimeout);
    CHECK(target()->unreachableSince.has_value());
    CHECK(context.counters.pathFailures == 1);
}

TEST_CASE_METHOD(OnePeer, "a run returns the outcome without the headers between daemons")
{
    const auto attempt = makeAttempt();
    REQUIRE(std::holds_alternative<TargetAttempt::SlotGranted>(reserve(*attempt)));
    outcome = GENERATE(RunOutcome::Answered, RunOutcome::NotSent, RunOutcome::NotRun, RunOutcome::ConnectionLost);
    std::optional<TargetAttempt::RunResult> result;
    REQUIRE(attempt->run(
        { .requestId = "r-1", .timeLeft = 1s }, [&result](TargetAttempt::RunResult run) { result = std::move(run); }));
    REQUIRE(testing::runUntil(io, [&] { return result.has_value(); }));
    const auto& ended = std::get<TargetAttempt::Ended>(*result);
    CHECK(ended.outcome == outcome);
    CHECK(ended.response.body == "whole");
    CHECK_FALSE(ended.response.headers.find(outcomeHeader));
    CHECK_FALSE(ended.response.headers.find(loadHeader));
}

TEST_CASE_METHOD(OnePeer, "an attempt that is given up calls nothing back and closes its connection")
{
    isSilent = true;
    bool isCalled = false;
    auto attempt = makeAttempt();
    attempt->reserve({ .requestId = "r-1" }, [&](const TargetAttempt::SlotResult&) { isCalled = true; });
    REQUIRE(testing::runUntil(io, [&] { return messages == 1; }));
    attempt = nullptr;
    CHECK(testing::runUntil(io, [&] { return closedConnections == 1; }));
    CHECK_FALSE(isCalled);
}

} // namespace coriandergate::relay
