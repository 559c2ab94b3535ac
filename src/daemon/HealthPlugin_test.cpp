// Gray targets and poison requests with real processes.
#include "base/Clock.h"
#include "fixture/DaemonUnderTest.h"
#include "fixture/TargetUnderTest.h"
#include "http/Client.h"
#include "testing/Application.h"
#include "testing/SimpleCall.h"

#include <QEventLoop>
#include <QTimer>
#include <catch2/catch.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <vector>

using namespace coriandergate;
using namespace coriandergate::testing;
using namespace std::chrono_literals;

namespace {

using Targets = std::vector<std::unique_ptr<TargetUnderTest>>;

auto startTargets(DaemonUnderTest& daemon, int count, const std::vector<std::string>& arguments) -> Targets
{
    Targets targets;
    for (auto i = 0; i < count; ++i)
        targets.push_back(std::make_unique<TargetUnderTest>(daemon, arguments));
    return targets;
}

struct Tally {
    int sent = 0;
    int failed = 0;
    int missing = 0;
};

// callUntil() calls a hundred times a second until `isDone`, for 20 s at the most, and waits for the answers.
auto callUntil(const DaemonUnderTest& daemon, const std::function<bool()>& isDone) -> Tally
{
    ensureApplication();
    constexpr auto mostCalls = 2000;
    Tally tally;
    http::Client client({});
    QEventLoop loop;
    QTimer timer;
    QObject::connect(&timer, &QTimer::timeout, &timer, [&] {
        if (tally.sent == mostCalls || isDone()) {
            timer.stop();
            if (tally.missing == 0)
                loop.quit();
            return;
        }
        ++tally.sent;
        ++tally.missing;
        http::Request request { .method = "GET", .target = "/open/a", .headers = {}, .body = {} };
        request.headers.add("Host", daemon.callers());
        client.send(daemon.callers(), request, { .timeout = 10s }, [&](const http::ExchangeResult& result) {
            const auto* answer = std::get_if<http::Answer>(&result);
            tally.failed += answer && answer->status == 200 ? 0 : 1;
            if (--tally.missing == 0 && !timer.isActive())
                loop.quit();
        });
    });
    timer.start(10ms);
    loop.exec();
    return tally;
}

auto countOf(const std::string& text, const std::string& wanted) -> int
{
    auto count = 0;
    for (auto at = text.find(wanted); at != std::string::npos; at = text.find(wanted, at + 1))
        ++count;
    return count;
}

} // namespace

TEST_CASE("the daemon ejects a slow target, and no second one where the floor forbids it")
{
    DaemonUnderTest daemon({ "--cold-grace-ms=0", "--warm-up-ms=0", "--ejection-hold-ms=60000" });
    const auto targets = startTargets(daemon, 5, { "--service=demo", "--slots=6", "--service-time=10" });
    CHECK(callUntil(daemon, [n = 0]() mutable { return ++n > 300; }).failed == 0);
    CHECK(countOf(daemon.process().output(), "CG1801") == 0);
    targets[0]->setMode(R"({"slowFactor": 10})");
    targets[1]->setMode(R"({"slowFactor": 10})");
    const auto slowAt = monotonicNow();
    std::optional<MonotonicTime> ejectedAt;
    const auto tally = callUntil(daemon, [&] {
        const auto output = daemon.process().output();
        if (!ejectedAt && output.find("CG1801") != std::string::npos)
            ejectedAt = monotonicNow();
        return ejectedAt && output.find("CG1803") != std::string::npos;
    });
    CHECK(tally.failed == 0);
    const auto output = daemon.process().output();
    REQUIRE(ejectedAt);
    WARN("ejected after " << std::chrono::duration_cast<std::chrono::milliseconds>(*ejectedAt - slowAt).count()
                          << " ms");
    CHECK(countOf(output, "CG1801") == 1);
    CHECK(countOf(output, "CG1803") > 0);
    const auto isFirst = output.find("target ejected target=" + targets[0]->address()) != std::string::npos;
    auto& ejected = *targets[isFirst ? 0 : 1];
    const auto before = ejected.seen()["requests"].size();
    CHECK(callUntil(daemon, [n = 0]() mutable { return ++n > 100; }).failed == 0);
    CHECK(ejected.seen()["requests"].size() == before);
}

TEST_CASE("a request that crashes its targets takes two of them, and its neighbours are served")
{
    DaemonUnderTest daemon;
    auto targets = startTargets(daemon, 4, { "--service=demo" });
    for (const auto& target : targets)
        target->setMode(R"({"crashPath": "/open/poison"})");
    const auto call = [&daemon](const std::string& path) {
        Error reason;
        auto answer
            = simpleCall(daemon.callers(), { .method = "GET", .target = path, .headers = {}, .body = {} }, 10s, reason);
        INFO(reason.toText());
        REQUIRE(answer);
        return std::move(*answer);
    };
    CHECK(call("/open/poison").headers.find("Coriandergate-Outcome") == "may-have-run");
    CHECK(call("/open/poison").headers.find("Coriandergate-Outcome") == "may-have-run");
    for (auto resend = 0; resend < 5; ++resend) {
        const auto answer = call("/open/poison");
        CHECK(answer.status == 422);
        CHECK(answer.headers.find("Coriandergate-Outcome") == "not-run");
        CHECK(call("/open/neighbour").status == 200);
    }
    INFO(daemon.process().output());
    auto lost = 0;
    for (const auto& target : targets)
        lost += target->process().isRunning() ? 0 : 1;
    CHECK(lost == 2);
}
