#include "soak/Checker.h"

#include <catch2/catch.hpp>

namespace coriandergate::soak {

using namespace std::chrono_literals;

namespace {

    auto at(std::chrono::milliseconds time) -> MonotonicTime { return MonotonicTime(time); }

    auto makeChecker() -> Checker { return Checker({ .rateLimit = 3, .limitedAccount = "two" }); }

    auto book(const std::string& id) -> Checker::Sent
    {
        return { .id = id, .method = "POST", .path = "/book/1", .body = "b", .key = "key-one", .account = "one" };
    }

    auto runOf(const Checker::Sent& sent) -> Checker::Run
    {
        return { sent.id, sent.method, sent.path, sent.body, sent.account, false };
    }

    auto violates(Checker& checker, const std::string& promise) -> bool
    {
        const auto violations = checker.finish();
        return violations.size() == 1 && violations[0].starts_with(promise + ":");
    }

} // namespace

TEST_CASE("the soak's checker finds nothing wrong with a request that ran once and was answered")
{
    auto checker = makeChecker();
    checker.sent(book("r"), at(0ms));
    checker.ran("i", runOf(book("r")), at(1ms));
    checker.answered("r", 200, "ran /book/1", true, at(2ms));
    CHECK(checker.finish().empty());
}

TEST_CASE("the soak's checker finds each planted fault")
{
    auto checker = makeChecker();
    auto sent = book("r");
    SECTION("a run that nobody asked for")
    {
        checker.ran("i", runOf(sent), at(1ms));
        CHECK(violates(checker, "unasked"));
    }
    SECTION("a body that was changed")
    {
        checker.sent(sent, at(0ms));
        auto run = runOf(sent);
        run.body = "c";
        checker.ran("i", run, at(1ms));
        CHECK(violates(checker, "unasked"));
    }
    SECTION("another account, or the key itself")
    {
        checker.sent(sent, at(0ms));
        auto run = runOf(sent);
        if (GENERATE(true, false))
            run.account = "two";
        else
            run.hasKey = true;
        checker.ran("i", run, at(1ms));
        CHECK(violates(checker, "account"));
    }
    SECTION("a second run")
    {
        checker.sent(sent, at(0ms));
        checker.ran("i", runOf(sent), at(1ms));
        checker.ran("j", runOf(sent), at(2ms));
        CHECK(violates(checker, "twice"));
    }
    SECTION("a refusal of what had run")
    {
        checker.sent(sent, at(0ms));
        checker.ran("i", runOf(sent), at(1ms));
        checker.answered("r", GENERATE(408, 421, 429, 503), "", false, at(2ms));
        CHECK(violates(checker, "refused"));
    }
    SECTION("a run of what its caller may take for not read, before or later")
    {
        const bool runsLater = GENERATE(true, false);
        checker.sent(sent, at(0ms));
        if (runsLater)
            checker.notRead("r");
        checker.ran("i", runOf(sent), at(1ms));
        if (!runsLater)
            checker.notRead("r");
        CHECK(violates(checker, "unread"));
    }
    SECTION("bytes that are no answer")
    {
        checker.unasked("s-1", "ran /book/1");
        CHECK(violates(checker, "mixed"));
    }
    SECTION("an answer of another request, or without the signature")
    {
        checker.sent(sent, at(0ms));
        checker.ran("i", runOf(sent), at(1ms));
        const bool isSigned = GENERATE(true, false);
        checker.answered("r", 200, isSigned ? "ran /book/2" : "ran /book/1", isSigned, at(2ms));
        CHECK(violates(checker, "mixed"));
    }
    SECTION("a run at an instance that left")
    {
        checker.leaveConfirmed("i", at(0ms));
        checker.sent(sent, at(2400ms));
        checker.ran("i", runOf(sent), at(2501ms));
        CHECK(violates(checker, "drain"));
    }
    SECTION("a run with a withdrawn key")
    {
        checker.keyWithdrawn("key-one", at(0ms));
        checker.sent(sent, at(5001ms));
        checker.ran("i", runOf(sent), at(5002ms));
        CHECK(violates(checker, "revoked"));
    }
    SECTION("too many runs of an account")
    {
        sent.account = "two";
        sent.isRepeatable = true;
        for (int i = 0; i < 4; ++i) {
            sent.id = std::to_string(i);
            checker.sent(sent, at(i * 100ms));
            checker.ran("i", runOf(sent), at(i * 100ms));
        }
        CHECK(violates(checker, "rate"));
    }
    SECTION("a configuration that came back")
    {
        auto newer = book("new");
        newer.path = "/gen-7/1";
        newer.generation = 7;
        checker.sent(newer, at(0ms));
        checker.ran("i", runOf(newer), at(1ms));
        checker.answered("new", 200, "ran /gen-7/1", true, at(2ms));
        auto older = book("old");
        older.generation = 6;
        checker.sent(older, at(2100ms));
        checker.ran("i", runOf(older), at(2101ms));
        CHECK(violates(checker, "regress"));
    }
    SECTION("a configuration that isn't in force in time")
    {
        checker.configurationConfirmed(7, at(10s));
        const bool isOlderRoute = GENERATE(true, false);
        sent.generation = isOlderRoute ? 6 : 7;
        checker.sent(sent, at(12501ms));
        if (isOlderRoute)
            checker.ran("i", runOf(sent), at(12502ms));
        else
            checker.answered("r", 404, "", false, at(12502ms));
        CHECK(violates(checker, "configuration"));
    }
    SECTION("more repeats than allowed, in a window that is no whole number of seconds")
    {
        Checker limited({ .repeats = { .perWindow = 2 } });
        sent.isRepeatable = true;
        for (int i = 0; i < 10; ++i) {
            sent.id = std::to_string(i);
            limited.sent(sent, at(i * 1s));
            limited.ran("i", runOf(sent), at(i * 1s));
        }
        for (int i = 0; i < 5; ++i)
            limited.ran("j", runOf(sent), at(9100ms + i * 2400ms));
        CHECK(violates(limited, "repeats"));
    }
    SECTION("a daemon that ended by itself, also when it would have been ended later")
    {
        CHECK_FALSE(checker.daemonEnded(2, GENERATE(0, 1, 134, 137, 139)));
        checker.endCaused(2, GENERATE(Checker::EndSignal::Terminate, Checker::EndSignal::Kill));
        CHECK(checker.daemonEnded(2, 137)); // told before
        CHECK(violates(checker, "end"));
    }
    SECTION("a daemon that crashed on a signal, or whose signal was for the one before it or for another")
    {
        const auto code = GENERATE(0, 134, 137, 139);
        if (code >= 134 && code != 137)
            checker.endCaused(2, GENERATE(Checker::EndSignal::Terminate, Checker::EndSignal::Kill));
        if (code == 137)
            checker.endCaused(2, Checker::EndSignal::Terminate);
        if (code == 0)
            checker.endCaused(2, Checker::EndSignal::Kill);
        if (GENERATE(true, false)) {
            checker.daemonStarted(2, at(0ms));
            checker.endCaused(1, Checker::EndSignal::Terminate);
        }
        CHECK_FALSE(checker.daemonEnded(2, code));
        CHECK(violates(checker, "end"));
    }
    SECTION("a request that a planned stop cut off")
    {
        checker.stopBegan(0, at(5000ms));
        checker.sent(sent, at(5100ms));
        checker.ran("i", runOf(sent), at(5101ms));
        checker.cut("r", at(5200ms));
        CHECK(violates(checker, "lost"));
    }
}

TEST_CASE("the soak's checker allows what the promises allow")
{
    auto checker = makeChecker();
    const auto sent = book("r");
    SECTION("a cut after a fault")
    {
        checker.disturbed(at(3000ms), at(3500ms));
        checker.stopBegan(0, at(5000ms));
        checker.sent(sent, at(5100ms));
        checker.ran("i", runOf(sent), at(5101ms));
        checker.cut("r", at(5200ms));
    }
    SECTION("an end that a signal explains")
    {
        checker.endCaused(0, Checker::EndSignal::Kill);
        CHECK(checker.daemonEnded(0, 137));
        CHECK(checker.daemonEnded(0, 137));
        checker.daemonStarted(0, at(0ms));
        checker.endCaused(0, Checker::EndSignal::Terminate);
        CHECK(checker.daemonEnded(0, GENERATE(0, 143)));
        checker.endCaused(1, Checker::EndSignal::Terminate);
        checker.endCaused(1, Checker::EndSignal::Kill);
        CHECK(checker.daemonEnded(1, GENERATE(0, 137)));
    }
    SECTION("an older configuration at a daemon that was started again")
    {
        auto newer = book("new");
        newer.generation = 7;
        checker.sent(newer, at(0ms));
        checker.answered("new", 200, "ran /book/1", true, at(2ms));
        checker.daemonStarted(0, at(0ms));
        auto older = book("old");
        older.generation = 6;
        checker.sent(older, at(2100ms));
        checker.ran("i", runOf(older), at(2101ms));
    }
    SECTION("a repeatable request that ran although its caller may take it for not read")
    {
        auto repeatable = sent;
        repeatable.isRepeatable = true;
        checker.sent(repeatable, at(0ms));
        checker.ran("i", runOf(repeatable), at(1ms));
        checker.notRead("r");
    }
    SECTION("a request that was not read and did not run, or may have been read and ran")
    {
        checker.sent(sent, at(0ms));
        checker.notRead("r");
        checker.sent(book("q"), at(0ms));
        checker.ran("i", runOf(book("q")), at(1ms));
        checker.cut("q", at(2ms));
    }
    SECTION("an older configuration within its time, beside a fault, or at a daemon that was just started")
    {
        const auto sentAt = GENERATE(12500ms, 12900ms, 12901ms);
        checker.configurationConfirmed(7, at(10s));
        if (sentAt == 12900ms)
            checker.disturbed(at(9900ms), at(9900ms));
        if (sentAt == 12901ms)
            checker.daemonStarted(0, at(9902ms));
        auto older = sent;
        older.generation = 6;
        checker.sent(older, at(sentAt));
        checker.ran("i", runOf(older), at(sentAt + 1ms));
    }
    SECTION("as many repeats as the requests of the window before allow")
    {
        Checker limited({ .repeats = { .perWindow = 0 } });
        auto repeatable = sent;
        repeatable.isRepeatable = true;
        for (int i = 0; i < 10; ++i) {
            repeatable.id = std::to_string(i);
            limited.sent(repeatable, at(i * 1s));
            limited.ran("i", runOf(repeatable), at(i * 1s));
        }
        for (int i = 0; i < 2; ++i)
            limited.ran("j", runOf(repeatable), at(10s + i * 1s));
        CHECK(limited.finish().empty());
    }
    SECTION("a request that was sent before the key's time was over")
    {
        checker.keyWithdrawn("key-one", at(0ms));
        checker.sent(sent, at(4900ms));
        checker.ran("i", runOf(sent), at(6000ms));
    }
    CHECK(checker.finish().empty());
}

} // namespace coriandergate::soak
