// Once-only requests against real daemons that are killed, stopped for a while, and ended as planned, by seed.
#include "base/Clock.h"
#include "base/Error.h"
#include "config/KeyDigest.h"
#include "fixture/DaemonUnderTest.h"
#include "http/Client.h"
#include "testing/Application.h"
#include "testing/LoopbackPort.h"
#include "testing/ProcessUnderTest.h"
#include "testing/SimpleCall.h"

#include <QEventLoop>
#include <QTimer>
#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <nlohmann/json.hpp>
#include <random>

using namespace coriandergate;
using namespace coriandergate::testing;
using namespace std::chrono_literals;

namespace {

constexpr auto patience = 10s;
constexpr std::size_t daemonCount = 6;
constexpr std::size_t dataCentreCount = 3;
constexpr std::size_t targetCount = 3; // beside the first daemons
constexpr auto retention = 6s;
constexpr auto longestResend = 3s; // after the first try; with a pause of a daemon still within the retention
constexpr auto longestPause = 1500ms;

auto freeAddress() -> std::string { return "127.0.0.1:" + std::to_string(freeLoopbackPort()); }

auto wait(std::chrono::milliseconds duration) -> void
{
    QEventLoop loop;
    QTimer::singleShot(duration, &loop, [&loop] { loop.quit(); });
    loop.exec();
}

// What the caller of one request was told.
struct Caller {
    std::string path;
    std::string key; // empty: sent once
    MonotonicTime begunAt;
    int runningMilliseconds = 0;
    std::vector<std::string> outcomes; // of its answers; "" for none
    bool isDone = false;

    [[nodiscard]] auto wasAlwaysNotRun() const -> bool
    {
        return isDone
            && std::all_of(outcomes.begin(), outcomes.end(), [](const auto& outcome) { return outcome == "not-run"; });
    }
};

// A store, two daemons in each data centre, and targets that outlive the daemons beside them.
class Play {
public:
    explicit Play(std::uint64_t seed)
        : m_random(seed)
        , m_store(toolPath(CORIANDERGATE_TOOLS, "coriandergate-store-stand-in"))
    {
        ensureApplication();
        Error reason;
        REQUIRE(m_store.start(reason));
        const auto line = m_store.waitForLine("listening on ", patience);
        REQUIRE(line);
        m_storeAddress = line->substr(line->rfind(' ') + 1);
        for (std::size_t i = 0; i < daemonCount; ++i)
            m_daemons.push_back({ freeAddress(), freeAddress(), freeAddress(), nullptr });
        for (std::size_t i = 0; i < daemonCount; ++i)
            start(i);
        declare();
        for (std::size_t i = 0; i < targetCount; ++i) {
            m_targets.push_back(
                std::make_unique<ProcessUnderTest>(toolPath(CORIANDERGATE_TOOLS, "coriandergate-target-stand-in"),
                    std::vector<std::string> { "--service=demo", "--slots=16", "--announce=" + m_daemons[i].admin }));
            REQUIRE(m_targets.back()->start(reason));
            const auto listening = m_targets.back()->waitForLine("listening on ", patience);
            REQUIRE(listening);
            m_targetAddresses.push_back(listening->substr(listening->rfind(' ') + 1));
        }
        waitUntilServed();
        // Until some daemon remembers back over the whole retention, a seat's new holder knows of no key that it is
        // new.
        wait(retention + 6s);
    }

    auto run(std::chrono::milliseconds length) -> void
    {
        QTimer requests;
        QObject::connect(&requests, &QTimer::timeout, [this] { begin(); });
        requests.start(15ms);
        QTimer disturbances;
        QObject::connect(&disturbances, &QTimer::timeout, [this, &disturbances] {
            disturb();
            disturbances.setInterval(between(700, 2500));
        });
        disturbances.start(300ms);
        wait(length);
        requests.stop();
        disturbances.stop();
        wait(4s); // frozen daemons go on, and callers get their last answers
        for (int round = 0; round < 100 && m_underWay > 0; ++round)
            wait(100ms);
        CHECK(m_underWay == 0);
    }

    // check() returns how many callers were told that their request ran.
    auto check() -> int
    {
        std::map<std::string, int> runs;
        for (const auto& address : m_targetAddresses) {
            const auto seen = call(address, "GET", "/_seen", {});
            for (const auto& request : seen["requests"])
                ++runs[request["path"].get<std::string>()];
        }
        int told = 0;
        for (const auto& caller : m_callers) {
            const auto count = runs[caller->path];
            CAPTURE(caller->path, caller->key, caller->outcomes);
            CHECK(count <= 1);
            if (caller->wasAlwaysNotRun())
                CHECK(count == 0);
            if (std::find(caller->outcomes.begin(), caller->outcomes.end(), "ran") != caller->outcomes.end()) {
                CHECK(count == 1);
                ++told;
            }
        }
        std::map<std::string, int> outcomes;
        for (const auto& caller : m_callers)
            ++outcomes[caller->outcomes.empty() ? "none" : caller->outcomes.back()];
        WARN(m_callers.size() << " requests, " << told << " told as run; last outcomes: not-run " << outcomes["not-run"]
                              << ", may-have-run " << outcomes["may-have-run"] << ", none " << outcomes[""] << "; "
                              << m_kills << " kills, " << m_pauses << " pauses, " << m_stops << " planned stops");
        std::string reasons;
        for (const auto& [reason, count] : m_reasons)
            reasons += std::to_string(count) + " " + reason + "\n";
        WARN("refusals:\n" << reasons);
        return told;
    }

private:
    struct Daemon {
        std::string callers;
        std::string peers;
        std::string admin;
        std::unique_ptr<ProcessUnderTest> process;
        bool isDisturbed = false;
    };

    auto between(int least, int most) -> std::chrono::milliseconds
    {
        return std::chrono::milliseconds(std::uniform_int_distribution<>(least, most)(m_random));
    }

    auto start(std::size_t i) -> void
    {
        auto& daemon = m_daemons[i];
        std::string others;
        for (std::size_t other = 0; other < daemonCount; ++other)
            others += other == i ? "" : (others.empty() ? "" : ",") + m_daemons[other].peers;
        daemon.process = std::make_unique<ProcessUnderTest>(toolPath(CORIANDERGATE_TOOLS, "coriandergated"),
            std::vector<std::string> { "--store=" + m_storeAddress, "--seat-count=8", "--peers=" + others,
                "--data-centre=dc-" + std::to_string(i % dataCentreCount),
                "--once-retention-ms=" + std::to_string(std::chrono::milliseconds(retention).count()),
                "--suspicion-timeout-ms=1000", "--drain-delay-ms=200", "--workers=1", "--key-contact-limit-ms=600000",
                "--operators=ann:" + config::digestOfKey("ann-token"), "--listen=" + daemon.callers,
                "--peer-listen=" + daemon.peers, "--admin-listen=" + daemon.admin });
        Error reason;
        REQUIRE(daemon.process->start(reason));
    }

    auto restart(std::size_t i) -> void
    {
        if (m_daemons[i].process->isRunning()) {
            QTimer::singleShot(100ms, &m_timers, [this, i] { restart(i); });
            return;
        }
        start(i);
        m_daemons[i].isDisturbed = false;
    }

    auto disturb() -> void
    {
        const auto i = static_cast<std::size_t>(m_random() % daemonCount);
        auto& daemon = m_daemons[i];
        const auto how = m_random() % 3;
        const auto length = between(200, static_cast<int>(longestPause.count()));
        if (std::exchange(daemon.isDisturbed, true))
            return;
        if (how == 1) {
            ++m_pauses;
            daemon.process->pause();
            QTimer::singleShot(length, &m_timers, [&daemon] {
                daemon.process->resume();
                daemon.isDisturbed = false;
            });
            return;
        }
        ++(how == 0 ? m_kills : m_stops);
        if (how == 0)
            daemon.process->kill();
        else
            daemon.process->terminate();
        QTimer::singleShot(length, &m_timers, [this, i] { restart(i); });
    }

    auto begin() -> void
    {
        auto caller = std::make_shared<Caller>();
        caller->path = "/orders/" + std::to_string(m_callers.size());
        if (m_random() % 4 != 0)
            caller->key = "key-" + std::to_string(m_callers.size());
        caller->runningMilliseconds = static_cast<int>(m_random() % 300);
        caller->begunAt = monotonicNow();
        m_callers.push_back(caller);
        ++m_underWay;
        send(caller);
    }

    auto send(const std::shared_ptr<Caller>& caller) -> void
    {
        http::Request request { .method = "POST", .target = caller->path, .headers = {}, .body = caller->path };
        request.headers.add("Host", "mesh");
        request.headers.add("X-Service-Time", std::to_string(caller->runningMilliseconds));
        if (!caller->key.empty())
            request.headers.add("Idempotency-Key", caller->key);
        const auto& daemon = m_daemons[m_random() % daemonCount];
        // Some callers give up early and turn to another daemon.
        const auto timeout = m_random() % 4 == 0 ? between(20, 400) : 2000ms;
        m_client.send(daemon.callers, request, { .timeout = timeout, .needsFreshConnection = m_random() % 2 == 0 },
            [this, caller](const http::ExchangeResult& result) { onResult(caller, result); });
    }

    auto onResult(const std::shared_ptr<Caller>& caller, const http::ExchangeResult& result) -> void
    {
        const auto* const answer = std::get_if<http::Answer>(&result);
        const auto* const failure = std::get_if<http::ExchangeFailure>(&result);
        const auto unsent = failure && !failure->mayHaveRun;
        const std::string outcome(
            answer ? answer->headers.find("Coriandergate-Outcome").value_or("") : (unsent ? "not-run" : ""));
        caller->outcomes.push_back(outcome);
        if (answer && outcome != "ran")
            ++m_reasons[nlohmann::json::parse(answer->body, nullptr, false).value("detail", "")];
        if (outcome == "ran" || caller->key.empty() || monotonicNow() > caller->begunAt + longestResend) {
            caller->isDone = true;
            --m_underWay;
            return;
        }
        QTimer::singleShot(between(50, 400), &m_timers, [this, caller] { send(caller); });
    }

    auto call(const std::string& address, const std::string& method, const std::string& path, const std::string& body)
        -> nlohmann::json
    {
        http::Request request { .method = method, .target = path, .headers = {}, .body = body };
        request.headers.add("Authorization", "Bearer ann-token");
        Error reason;
        const auto answer = simpleCall(address, std::move(request), patience, reason);
        return answer ? nlohmann::json::parse(answer->body, nullptr, false) : nlohmann::json();
    }

    auto declare() -> void
    {
        const std::string declaration = "services: [{ name: demo }]\n"
                                        "routes: [{ name: orders, pathPrefix: /, service: demo, isOpen: true }]\n";
        for (int round = 0; round < 100; ++round) {
            const auto plan = call(m_daemons[0].admin, "POST", "/v1/plans", declaration);
            if (plan.is_object() && plan.contains("id")) {
                const auto path = "/v1/plans/" + plan["id"].get<std::string>() + "/confirm";
                if (call(m_daemons[0].admin, "POST", path, {}).value("result", "") == "accepted")
                    return;
            }
            wait(100ms);
        }
        FAIL("no configuration");
    }

    auto waitUntilServed() -> void
    {
        for (std::size_t i = 0; i < daemonCount; ++i) {
            auto isServed = false;
            std::string last;
            for (int round = 0; round < 300 && !isServed; ++round) {
                http::Request request { .method = "POST", .target = "/warm", .headers = {}, .body = {} };
                request.headers.add("Host", "mesh");
                request.headers.add("Idempotency-Key", "warm-" + std::to_string(i) + "-" + std::to_string(round));
                Error reason;
                const auto answer = simpleCall(m_daemons[i].callers, std::move(request), patience, reason);
                isServed = answer && answer->status == 200;
                last = answer ? answer->body : reason.toText();
                if (!isServed)
                    wait(100ms);
            }
            CAPTURE(i, last, m_daemons[i].process->output());
            REQUIRE(isServed);
        }
    }

    std::mt19937_64 m_random;
    ProcessUnderTest m_store;
    std::string m_storeAddress;
    std::vector<Daemon> m_daemons;
    std::vector<std::unique_ptr<ProcessUnderTest>> m_targets;
    std::vector<std::string> m_targetAddresses;
    std::vector<std::shared_ptr<Caller>> m_callers;
    std::map<std::string, int> m_reasons; // of refusals
    int m_underWay = 0;
    int m_kills = 0;
    int m_pauses = 0;
    int m_stops = 0;
    QObject m_timers;
    http::Client m_client { {} };
};

auto play(std::uint64_t seed) -> void
{
    CAPTURE(seed);
    Play play(seed);
    play.run(10s);
    // Refusing every request would prevent double runs, too.
    CHECK(play.check() > 100);
}

} // namespace

TEST_CASE("once-only requests run once and refusals are true while daemons are killed, frozen and stopped") { play(1); }

TEST_CASE("any seed of once-only requests while daemons are killed, frozen and stopped (--rng-seed)", "[.long]")
{
    play(Catch::rngSeed());
}
