#include "soak/SoakRun.h"

#include "http/Status.h"
#include "platform/ProtocolNames.h"
#include "platform/testing/FleetUnderTest.h"
#include "soak/Callers.h"

#include <algorithm>
#include <functional>
#include <iomanip>
#include <map>
#include <nlohmann/json.hpp>
#include <ostream>
#include <set>
#include <sstream>
#include <thread>

namespace coriandergate::soak {

using nlohmann::json;
using platform::testing::FakePlatformStore;
using platform::testing::FakeTarget;
using platform::testing::FleetUnderTest;
using std::chrono::milliseconds;

namespace {

    constexpr double limitedRate = 20; // of the account whose limit is checked
    // Time for the daemons that were started last to know the rates' homes, before the plan begins.
    constexpr milliseconds settleTime { 5500 };
    constexpr milliseconds longestStop { 8000 };
    // A configuration holds, and a fault's effects are over, so long after.
    constexpr milliseconds afterEffect { 3000 };
    // Until the operator has seen that the store came back and writes again what it lost.
    constexpr milliseconds operatorDelay { 300 };
    constexpr milliseconds watchInterval { 250 }; // short enough to tell an end's time within the list of faults

    // Soak holds what one run needs.
    class Soak {
    public:
        Soak(const SoakOptions& options, std::ostream& log)
            : m_log(log)
            , m_checker({ .rateLimit = (limitedRate * 5 + limitedRate) * 1.1 + 20, .limitedAccount = "two" })
            , m_fleet({ .hasFaultProxies = true,
                  .daemonProgram = options.daemonProgram,
                  .onRequestStarted = [this](std::size_t, const std::string& instance, const http::Request& request) {
                      recordRun(instance, request);
                  } })
        {
            m_report.options = options.plan;
        }

        auto play() -> SoakReport
        {
            const auto& options = m_report.options;
            for (std::size_t i = 0; i < options.hosts; ++i)
                m_fleet.addHost("ledger");
            publish();
            if (!m_fleet.waitUntilReady()) {
                m_report.violations.emplace_back("start: the fleet was not ready in time");
                return m_report;
            }
            std::this_thread::sleep_for(settleTime);
            std::vector<std::string> addresses;
            for (std::size_t i = 0; i < options.hosts; ++i)
                addresses.push_back(m_fleet.callerListenAddress(i));
            Callers callers(m_checker, addresses, { .seed = options.seed });
            m_callers = &callers;
            callers.start();
            m_startedAt = monotonicNow();
            watchDaemons();
            for (const auto& step : drawPlan(options)) {
                runDue(m_startedAt + step.at);
                inject(step);
            }
            runDue(m_startedAt + options.length);
            for (std::size_t host = 0; host < options.hosts; ++host)
                noteEnd(host);
            endAll();
            callers.stop();
            m_report.violations = m_checker.finish();
            m_report.counts = m_checker.counts();
            return m_report;
        }

    private:
        using Action = std::function<void()>;

        auto recordRun(const std::string& instance, const http::Request& request) -> void
        {
            const auto names = platform::headerNames();
            m_checker.ran(instance,
                { .id = std::string(request.headers.find(names.requestId).value_or("")),
                    .method = request.method,
                    .path = request.target,
                    .body = request.body,
                    .account = std::string(request.headers.find(names.clientAccount).value_or("")),
                    .hasKey = request.headers.find(names.apiKey).has_value() },
                monotonicNow());
        }

        // The configuration of a generation has one route of its own and one key that the next generation may lack.
        auto publish() -> void
        {
            auto configuration = m_fleet.defaultConfiguration(m_generation);
            auto& routes = configuration["routes"]["rows"];
            auto own = routes[0];
            own[0] = "generation";
            own[2] = "/gen-" + std::to_string(m_generation) + "/";
            routes.push_back(own);
            auto& accounts = configuration["tenants"]["rows"];
            accounts[1][3] = limitedRate;
            accounts[1][4] = limitedRate;
            accounts.push_back(
                json::array({ "three", json::array({ "key-three-" + std::to_string(m_key) }), nullptr, 0, 0 }));
            m_published = configuration;
            m_fleet.configure(configuration);
            m_checker.configurationConfirmed(m_generation, monotonicNow());
        }

        auto runDue(MonotonicTime until) -> void
        {
            while (true) {
                const auto next = m_later.begin();
                const bool isDue = next != m_later.end() && next->first <= until;
                std::this_thread::sleep_until(isDue ? next->first : until);
                if (!isDue)
                    return;
                const auto action = next->second;
                m_later.erase(next);
                action();
            }
        }

        auto later(milliseconds delay, Action action) -> void
        {
            m_later.emplace(monotonicNow() + delay, std::move(action));
        }

        auto note(const Step& step, const std::string& what) -> void
        {
            std::ostringstream line;
            const std::chrono::duration<double> at = monotonicNow() - m_startedAt;
            line << std::fixed << std::setprecision(3) << at.count() << " s " << faultName(step.kind) << " host "
                 << step.host << what;
            m_report.faults.push_back(line.str());
            m_log << line.str() << std::endl;
        }

        auto inject(const Step& step) -> void
        {
            note(step, " for " + std::to_string(step.length.count()) + " ms");
            if (!isPlanned(step.kind))
                m_checker.disturbed(monotonicNow(), monotonicNow() + step.length + afterEffect);
            switch (step.kind) {
            case FaultKind::KillDaemon:
                killDaemon(step.host);
                return;
            case FaultKind::PauseDaemon:
                m_fleet.daemon(step.host).pause();
                later(step.length, [this, host = step.host] { m_fleet.daemon(host).resume(); });
                return;
            case FaultKind::StopDaemon:
                stopDaemon(step.host);
                return;
            case FaultKind::ReloadDaemon:
                m_fleet.daemon(step.host).hangUp();
                return;
            case FaultKind::DelayPeers:
                peers(step, "delay 80");
                return;
            case FaultKind::ResetPeers:
                peers(step, "refuse");
                return;
            case FaultKind::CutRequests:
                peers(step, "drop-requests");
                return;
            case FaultKind::CutAnswers:
                peers(step, "drop-answers");
                return;
            case FaultKind::SilencePeers:
                peers(step, "stall");
                return;
            case FaultKind::CutStore:
                m_fleet.setStoreFault(step.host, "stall");
                later(step.length, [this, host = step.host] { m_fleet.setStoreFault(host, "none"); });
                return;
            case FaultKind::StoreBusy:
                store(step, FakePlatformStore::Fault::Unavailable);
                return;
            case FaultKind::StoreSilent:
                store(step, FakePlatformStore::Fault::NoResponse);
                return;
            case FaultKind::StoreLosesAnswers:
                store(step, FakePlatformStore::Fault::LoseResponses);
                return;
            case FaultKind::StoreSlow:
                m_fleet.store().setDelay(milliseconds(250));
                later(step.length, [this] { m_fleet.store().setDelay(milliseconds(0)); });
                return;
            case FaultKind::StoreForgets:
                m_fleet.store().truncateHistory();
                return;
            case FaultKind::InstanceFails:
                instance(step, FakeTarget::Mode::Fail);
                return;
            case FaultKind::InstanceHangs:
                instance(step, FakeTarget::Mode::Hang);
                return;
            case FaultKind::InstanceRefuses:
                instance(step, FakeTarget::Mode::Reject);
                return;
            case FaultKind::InstancesRepeatRejections:
                repeatRejections(step);
                return;
            case FaultKind::InstanceStatesNothing:
                instance(step, FakeTarget::Mode::Unavailable);
                return;
            case FaultKind::InstanceForgesOutcome:
                instance(step, FakeTarget::Mode::ForgeOutcome);
                return;
            case FaultKind::InstanceUnsigned:
                instance(step, FakeTarget::Mode::OmitSignature);
                return;
            case FaultKind::InstanceSlow:
                m_fleet.target(step.host).setServiceTime(milliseconds(900));
                later(step.length, [this, host = step.host] { m_fleet.target(host).setServiceTime(milliseconds(5)); });
                return;
            case FaultKind::ReplaceInstance:
                replaceInstance(step.host);
                return;
            case FaultKind::ChangeConfiguration:
                changeConfiguration(false);
                return;
            case FaultKind::WithdrawKey:
                changeConfiguration(true);
                return;
            case FaultKind::StoreRestored:
                restoreStore(step);
                return;
            }
        }

        // The store confirms nothing to the operator while it is away, so the operator writes once it is back.
        auto changeConfiguration(bool withdrawsKey) -> void
        {
            if (m_restores > 0) {
                later(milliseconds(100), [this, withdrawsKey] { changeConfiguration(withdrawsKey); });
                return;
            }
            m_key += withdrawsKey ? 1 : 0;
            ++m_generation;
            publish();
            if (withdrawsKey)
                m_checker.keyWithdrawn("key-three-" + std::to_string(m_key - 1), monotonicNow());
            m_callers->setWithdrawable(m_key);
            m_callers->setGeneration(m_generation);
        }

        // The store is away for a quarter of the step and loses what it confirmed in a whole one before.
        auto restoreStore(const Step& step) -> void
        {
            const auto away = step.length / 4;
            ++m_restores;
            m_fleet.store().setFault(FakePlatformStore::Fault::Unavailable);
            later(away, [this, age = away + step.length] {
                m_fleet.store().restoreFromCopy(age);
                m_fleet.store().setFault(FakePlatformStore::Fault::None);
                --m_restores;
                later(operatorDelay, [this] { writeLostConfiguration(); });
            });
        }

        auto writeLostConfiguration() -> void
        {
            const auto stored = m_fleet.store().value(platform::operatorTable, platform::configurationKey);
            if (json::parse(stored, nullptr, false) != m_published)
                m_fleet.configure(m_published);
        }

        auto peers(const Step& step, const std::string& fault) -> void
        {
            m_fleet.setPeerFault(step.host, fault);
            later(step.length, [this, host = step.host] { m_fleet.setPeerFault(host, "none"); });
        }

        auto store(const Step& step, FakePlatformStore::Fault fault) -> void
        {
            m_fleet.store().setFault(fault);
            later(step.length, [this] { m_fleet.store().setFault(FakePlatformStore::Fault::None); });
        }

        auto instance(const Step& step, FakeTarget::Mode mode) -> void
        {
            m_fleet.target(step.host).setMode(mode);
            later(step.length, [this, host = step.host] { m_fleet.target(host).setMode(FakeTarget::Mode::Succeed); });
        }

        // A request is sent to the same instance again only if all others have rejected it too, and only while few
        // requests are rejected, since each further attempt takes a part of the retry budget.
        auto repeatRejections(const Step& step) -> void
        {
            constexpr std::uint64_t oneIn = 12;
            for (std::size_t host = 0; host < m_fleet.hostCount(); ++host) {
                m_fleet.target(host).setMode(FakeTarget::Mode::RepeatRejection, oneIn);
                later(step.length, [this, host] { m_fleet.target(host).setMode(FakeTarget::Mode::Succeed); });
            }
        }

        auto watchDaemons() -> void
        {
            for (std::size_t host = 0; host < m_fleet.hostCount(); ++host)
                noteEnd(host);
            later(watchInterval, [this] { watchDaemons(); });
        }

        // Tells the checker when a daemon has ended, and writes what it printed last if the soak hasn't ended it.
        auto noteEnd(std::size_t host) -> void
        {
            const auto code = m_fleet.daemon(host).waitForExit(milliseconds(0));
            if (!code || m_checker.daemonEnded(host, *code))
                return;
            constexpr std::size_t longestQuote = 6000;
            const auto output = m_fleet.daemon(host).output();
            const std::chrono::duration<double> at = monotonicNow() - m_startedAt;
            m_log << at.count() << " s: the daemon of host " << host << " ended by itself with " << *code
                  << "; it printed last:\n"
                  << output.substr(output.size() - std::min(output.size(), longestQuote)) << std::endl;
        }

        // Looks whether the daemon has ended before, so that the signal can't explain an end of its own.
        auto signalEnd(std::size_t host, Checker::EndSignal signal) -> void
        {
            noteEnd(host);
            m_checker.endCaused(host, signal);
            if (signal == Checker::EndSignal::Kill)
                m_fleet.daemon(host).kill();
            else
                m_fleet.daemon(host).terminate();
        }

        auto killDaemon(std::size_t host) -> void
        {
            m_fleet.daemon(host).resume();
            signalEnd(host, Checker::EndSignal::Kill);
            restartWhenEnded(host);
        }

        auto stopDaemon(std::size_t host) -> void
        {
            if (m_stopping.contains(host))
                return;
            m_stopping.insert(host);
            m_checker.stopBegan(host, monotonicNow());
            signalEnd(host, Checker::EndSignal::Terminate);
            later(milliseconds(200), [this, host] { awaitStop(host, monotonicNow() + longestStop); });
        }

        auto awaitStop(std::size_t host, MonotonicTime end) -> void
        {
            if (!m_stopping.contains(host))
                return;
            if (m_fleet.daemon(host).isRunning() && monotonicNow() < end) {
                later(milliseconds(100), [this, host, end] { awaitStop(host, end); });
                return;
            }
            signalEnd(host, Checker::EndSignal::Kill);
            restartWhenEnded(host);
        }

        auto restartWhenEnded(std::size_t host) -> void
        {
            if (!m_fleet.daemon(host).waitForExit(milliseconds(3000)))
                m_report.violations.push_back("end: a daemon did not end");
            noteEnd(host);
            m_checker.stopEnded(host);
            m_stopping.erase(host);
            m_checker.daemonStarted(host, monotonicNow());
            m_fleet.restartDaemon(host);
        }

        auto replaceInstance(std::size_t host) -> void
        {
            if (m_stopping.contains(host) || m_replacing.contains(host))
                return;
            const auto id = m_fleet.targetId(host);
            if (m_fleet.target(host).drain() == http::statusOk)
                m_checker.leaveConfirmed(id, monotonicNow());
            m_replacing.insert(host);
            // It serves on for a while after its leaving was confirmed.
            later(milliseconds(3500), [this, host] {
                m_fleet.replaceTarget(host);
                m_replacing.erase(host);
            });
        }

        auto endAll() -> void
        {
            for (std::size_t host = 0; host < m_fleet.hostCount(); ++host) {
                m_fleet.daemon(host).resume();
                m_fleet.setPeerFault(host, "none");
                m_fleet.setStoreFault(host, "none");
            }
            m_fleet.store().setFault(FakePlatformStore::Fault::None);
        }

        std::ostream& m_log;
        Checker m_checker;
        FleetUnderTest m_fleet;
        Callers* m_callers = nullptr;
        SoakReport m_report;
        MonotonicTime m_startedAt;
        std::multimap<MonotonicTime, Action> m_later;
        std::set<std::size_t> m_stopping;
        std::set<std::size_t> m_replacing;
        std::uint64_t m_generation = 1;
        std::uint64_t m_key = 1;
        json m_published; // the newest configuration
        std::size_t m_restores = 0; // during which the store is away
    };

} // namespace

auto runSoak(const SoakOptions& options, std::ostream& log) -> SoakReport { return Soak(options, log).play(); }

auto toText(const SoakReport& report) -> std::string
{
    std::ostringstream text;
    const auto& counts = report.counts;
    text << "seed " << report.options.seed << ", " << report.options.hosts << " hosts, "
         << report.options.length.count() << " ms, " << report.faults.size() << " faults: sent " << counts.sent
         << ", served " << counts.served << ", refused " << counts.refused << ", failed " << counts.failed << ", cut "
         << counts.cut << ", not read " << counts.notRead << ", runs " << counts.runs << ", violations "
         << report.violations.size() << '\n';
    for (const auto& violation : report.violations)
        text << "  " << violation << '\n';
    return text.str();
}

auto toJson(const SoakReport& report) -> std::string
{
    const auto& counts = report.counts;
    const json value = { { "seed", report.options.seed }, { "hosts", report.options.hosts },
        { "lengthMs", report.options.length.count() }, { "faults", report.faults }, { "violations", report.violations },
        { "counts",
            { { "sent", counts.sent }, { "served", counts.served }, { "refused", counts.refused },
                { "failed", counts.failed }, { "cut", counts.cut }, { "notRead", counts.notRead },
                { "runs", counts.runs } } } };
    return value.dump(2);
}

} // namespace coriandergate::soak
