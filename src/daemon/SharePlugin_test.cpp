// Client accounts' limits over several real daemons, counted at the target.
#include "config/KeyDigest.h"
#include "fixture/DaemonFleet.h"
#include "fixture/TargetUnderTest.h"
#include "http/Client.h"
#include "testing/Application.h"
#include "testing/ProcessUnderTest.h"
#include "testing/SimpleCall.h"

#include <QEventLoop>
#include <QTimer>
#include <catch2/catch.hpp>
#include <map>
#include <nlohmann/json.hpp>

using namespace coriandergate;
using namespace coriandergate::testing;
using namespace std::chrono_literals;

namespace {

constexpr auto patience = 10s;
constexpr double ratePerSecond = 40;
constexpr double burst = 20;

// Three daemons of two data centres with a store of their own, and a target beside the first.
class Fleet {
public:
    Fleet()
        : m_store(toolPath(CORIANDERGATE_TOOLS, "coriandergate-store-stand-in"))
    {
        ensureApplication();
        Error reason;
        REQUIRE(m_store.start(reason));
        const auto line = m_store.waitForLine("listening on ", patience);
        REQUIRE(line);
        m_storeAddress = line->substr(line->rfind(' ') + 1);
        m_daemons = std::make_unique<DaemonFleet>(DaemonFleet::Options { .dataCentres = 2,
            .arguments = { "--store=" + m_storeAddress, "--seat-count=8", "--suspicion-timeout-ms=1000",
                "--key-contact-limit-ms=600000", "--operators=ann:" + config::digestOfKey("ann-token") } });
        m_target
            = std::make_unique<TargetUnderTest>(m_daemons->daemon(0), std::vector<std::string> { "--service=demo" });
        declare();
        waitUntilServed();
    }

    auto daemon(std::size_t i) -> DaemonUnderTest& { return m_daemons->daemon(i); }
    auto store() -> ProcessUnderTest& { return m_store; }

    // call() sends one request with the account's key to each daemon every 5 ms for `duration`, 15 times the rate, and
    // returns how often each status came.
    auto call(std::chrono::milliseconds duration) -> std::map<int, int>
    {
        std::map<int, int> statuses;
        http::Client client({});
        QEventLoop loop;
        QTimer timer;
        QObject::connect(&timer, &QTimer::timeout, [&] {
            for (std::size_t i = 0; i < m_daemons->size(); ++i) {
                client.send(
                    daemon(i).callers(), request(), { .timeout = 5s }, [&statuses](http::ExchangeResult result) {
                        const auto* const answer = std::get_if<http::Answer>(&result);
                        ++statuses[answer ? answer->status : 0];
                    });
            }
        });
        timer.start(5ms);
        QTimer::singleShot(duration, &timer, [&timer] { timer.stop(); });
        QTimer::singleShot(duration + 1s, &loop, [&loop] { loop.quit(); });
        loop.exec();
        return statuses;
    }

    // countAbove() is for how many requests that reached the target some window ending with it held more than burst +
    // rate * length. The target's times are whole milliseconds.
    auto countAbove() -> std::size_t
    {
        const auto seen = m_target->seen()["requests"];
        std::size_t above = 0;
        for (std::size_t last = 0; last < seen.size(); ++last) {
            for (std::size_t first = 0; first <= last; ++first) {
                const auto length
                    = seen[last]["milliseconds"].get<double>() - seen[first]["milliseconds"].get<double>();
                const auto allowed = burst + ratePerSecond * (length + 1) / 1000;
                above += static_cast<double>(last - first + 1) > allowed ? 1 : 0;
            }
        }
        return above;
    }

    auto statusOf(std::size_t i) -> int
    {
        Error reason;
        const auto answer = simpleCall(daemon(i).callers(), request(), patience, reason);
        return answer ? answer->status : 0;
    }

    auto isServedWithin(std::size_t i, std::chrono::milliseconds limit) -> bool
    {
        const auto end = std::chrono::steady_clock::now() + limit;
        while (std::chrono::steady_clock::now() < end) {
            if (statusOf(i) == 200)
                return true;
            QEventLoop loop;
            QTimer::singleShot(50ms, &loop, [&loop] { loop.quit(); });
            loop.exec();
        }
        return false;
    }

private:
    static auto request() -> http::Request
    {
        http::Request request { .method = "GET", .target = "/a", .headers = {}, .body = {} };
        request.headers.add("X-Api-Key", "key-1");
        request.headers.add("Host", "mesh");
        return request;
    }

    auto declare() -> void
    {
        const auto declaration = "services: [{ name: demo }]\n"
                                 "clientAccounts: [{ name: member-1, ratePerSecond: 40, burst: 20, keyDigests: ["
            + config::digestOfKey("key-1")
            + "] }]\n"
              "routes: [{ name: demo, pathPrefix: /, service: demo, repeatPolicy: idempotent }]\n";
        const auto plan = callApi("/v1/plans", declaration);
        callApi("/v1/plans/" + plan["id"].get<std::string>() + "/confirm", {});
    }

    auto callApi(const std::string& path, const std::string& body) -> nlohmann::json
    {
        http::Request request { .method = "POST", .target = path, .headers = {}, .body = body };
        request.headers.add("Authorization", "Bearer ann-token");
        Error reason;
        const auto answer = simpleCall(daemon(0).admin(), request, patience, reason);
        REQUIRE(answer);
        INFO(answer->body);
        REQUIRE(answer->status < 300);
        return nlohmann::json::parse(answer->body);
    }

    auto waitUntilServed() -> void
    {
        for (std::size_t i = 0; i < m_daemons->size(); ++i)
            REQUIRE(isServedWithin(i, 20s));
    }

    ProcessUnderTest m_store;
    std::string m_storeAddress;
    std::unique_ptr<DaemonFleet> m_daemons;
    std::unique_ptr<TargetUnderTest> m_target;
};

} // namespace

TEST_CASE("an account gets its rate and burst once over all daemons, also when one dies or stands still")
{
    Fleet fleet;
    const auto statuses = fleet.call(3s);
    CHECK(statuses.at(200) > burst);
    CHECK(statuses.at(429) > statuses.at(200));
    fleet.daemon(1).process().pause();
    fleet.call(2s);
    fleet.daemon(1).process().resume();
    fleet.call(1s);
    fleet.daemon(2).process().kill();
    fleet.call(2s);
    CHECK(fleet.isServedWithin(0, 20s));
    CHECK(fleet.isServedWithin(1, 20s));
    CHECK(fleet.countAbove() == 0);
}

TEST_CASE("an account is served again after a daemon died while the store is away")
{
    Fleet fleet;
    fleet.store().kill();
    fleet.call(1s);
    fleet.daemon(1).process().kill();
    fleet.call(6s);
    CHECK(fleet.isServedWithin(0, 20s));
    CHECK(fleet.countAbove() == 0);
}
