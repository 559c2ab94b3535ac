// Slots, queues and retries with real processes.
#include "fixture/DaemonUnderTest.h"
#include "fixture/TargetUnderTest.h"
#include "http/Client.h"
#include "testing/Application.h"
#include "testing/SimpleCall.h"

#include <QEventLoop>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <thread>

using namespace coriandergate;
using namespace coriandergate::testing;
using namespace std::chrono_literals;

namespace {

struct Tally {
    int ran = 0;
    int refusedNotRun = 0;
    int other = 0;
};

auto count(const http::ExchangeResult& result, Tally& tally) -> void
{
    const auto* answer = std::get_if<http::Answer>(&result);
    if (answer && answer->status == 200)
        ++tally.ran;
    else if (answer && answer->headers.find("Coriandergate-Outcome") == "not-run")
        ++tally.refusedNotRun;
    else
        ++tally.other;
}

auto callAtOnce(const DaemonUnderTest& daemon, int requests, const std::string& deadline) -> Tally
{
    ensureApplication();
    Tally tally;
    http::Client client({});
    QEventLoop loop;
    int missing = requests;
    for (int number = 0; number < requests; ++number) {
        http::Request request { .method = "GET", .target = "/open/a", .headers = {}, .body = {} };
        request.headers.add("Host", daemon.callers());
        request.headers.add("X-Deadline-Ms", deadline);
        request.headers.add("x-service-time", "20");
        client.send(daemon.callers(), request, { .timeout = 10s }, [&](const http::ExchangeResult& result) {
            count(result, tally);
            if (--missing == 0)
                loop.quit();
        });
    }
    loop.exec();
    return tally;
}

// Metrics follow a moment after what they count.
auto waitForMetric(const DaemonUnderTest& daemon, const std::string& name) -> bool
{
    for (int round = 0; round < 50; ++round) {
        Error reason;
        const auto metrics = simpleCall(daemon.admin(), { .method = "GET", .target = "/metrics" }, 5s, reason);
        if (metrics && metrics->body.find(name) != std::string::npos)
            return true;
        std::this_thread::sleep_for(100ms);
    }
    return false;
}

} // namespace

TEST_CASE("a target never has more requests than slots, and its queue serves or truly refuses the rest")
{
    DaemonUnderTest daemon;
    TargetUnderTest target(daemon, { "--service=demo", "--slots=3" });
    for (const auto* deadline : { "5000", "70" }) {
        const auto tally = callAtOnce(daemon, 60, deadline);
        CAPTURE(deadline);
        CHECK(tally.other == 0);
        CHECK(tally.ran > 0);
    }
    const auto seen = target.seen();
    CHECK(seen["highestConcurrency"] == 3);
    CHECK(waitForMetric(daemon, "coriandergate_slots_waited_total"));
    CHECK(waitForMetric(daemon, "coriandergate_slots_refused_total{reason=\"deadline-too-short\"}"));
}
