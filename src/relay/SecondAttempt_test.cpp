#include "relay/SecondAttempt.h"

#include "testing/RequestFixture.h"
#include "testing/RunUntil.h"

#include <catch2/catch.hpp>

namespace coriandergate::relay {

using namespace std::chrono_literals;

namespace {

    // A request whose first attempt, at the first of two targets, was sent now and doesn't end.
    struct LongFirstAttempt : testing::RequestFixture {
        LongFirstAttempt()
        {
            context.hedging = dispatch::Hedging({ .limit = 1 });
            context.hedging.recordRequest("stock");
            second = std::make_shared<SecondAttempt>(request,
                SecondAttempt::Callbacks { .onWon = [this](const http::Answer& response) { wonWith = response.status; },
                    .onFirstFailed = [this](const TargetAttempt::RunResult&) { ++firstFailures; } });
        }

        auto arm(RunOutcome outcome, int status) -> void
        {
            addPeer(RunOutcome::Answered);
            addPeer(outcome, status);
            first = std::make_unique<TargetAttempt>(context, loadBalancer.targets("stock").front(), request->id);
            const auto& own = first->target().address;
            if (!own.ends_with(std::to_string(peers[0]->port())))
                first = std::make_unique<TargetAttempt>(context, loadBalancer.targets("stock").back(), request->id);
            request->history.attempts = 1;
            second->arm(*first, monotonicNow());
        }

        std::shared_ptr<SecondAttempt> second;
        std::unique_ptr<TargetAttempt> first;
        int wonWith = 0;
        int firstFailures = 0;
    };

    auto makeFailure() -> TargetAttempt::RunResult { return TargetAttempt::PathFailed {}; }

} // namespace

TEST_CASE_METHOD(LongFirstAttempt, "a second attempt that succeeds wins")
{
    arm(RunOutcome::Answered, 200);
    REQUIRE(testing::runUntil(io, [this] { return wonWith != 0; }));
    CHECK(wonWith == 200);
    CHECK(request->history.attempts == 2);
    CHECK_FALSE(request->history.mayHaveRun);
}

TEST_CASE_METHOD(LongFirstAttempt, "a second attempt that fails leaves its mark and the first one to decide")
{
    const auto outcome
        = GENERATE(RunOutcome::Answered, RunOutcome::MayHaveRun, RunOutcome::NotRun, RunOutcome::NotSent);
    arm(outcome, 503);
    REQUIRE(testing::runUntil(io, [this] { return runs == 1; }));
    testing::runUntil(
        io, [] { return false; }, 50ms);
    const auto& history = request->history;
    CHECK(wonWith == 0);
    CHECK(history.mayHaveRun == (outcome == RunOutcome::Answered || outcome == RunOutcome::MayHaveRun));
    CHECK(history.lastErrorResponse.has_value() == (outcome == RunOutcome::Answered));
    CHECK(history.attempts == (outcome == RunOutcome::NotSent ? 1 : 2));
    CHECK(history.hasUnusedRetry == (outcome == RunOutcome::NotSent));
    auto failure = makeFailure();
    CHECK_FALSE(second->defer(failure)); // the second one has ended
}

TEST_CASE_METHOD(LongFirstAttempt, "a failure of the first attempt waits for the second one, a success doesn't")
{
    arm(RunOutcome::Answered, 500);
    REQUIRE(testing::runUntil(io, [this] { return context.counters.hedges == 1; }));
    TargetAttempt::RunResult success = TargetAttempt::Ended { RunOutcome::Answered, {} };
    CHECK_FALSE(second->defer(success));
    auto failure = makeFailure();
    REQUIRE(second->defer(failure));
    CHECK(testing::runUntil(io, [this] { return firstFailures == 1; }));
    CHECK(wonWith == 0);
}

TEST_CASE_METHOD(LongFirstAttempt, "a cancelled second attempt sends nothing")
{
    arm(RunOutcome::Answered, 200);
    second->cancel();
    testing::runUntil(
        io, [] { return false; }, 300ms);
    CHECK(reservations == 0);
    CHECK(context.counters.hedges == 0);
}

} // namespace coriandergate::relay
