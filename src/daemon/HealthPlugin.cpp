#include "daemon/HealthPlugin.h"

#include "config/Snapshot.h"
#include "health/EjectionDecider.h"
#include "kernel/Kernel.h"
#include "kernel/PluginRegistration.h"
#include "log/Event.h"
#include "member/TargetRegistry.h"
#include "proxy/ProxyContext.h"
#include "proxy/SnapshotHolder.h"
#include "settings/SettingDefinition.h"
#include "settings/Settings.h"

#include <QTimer>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

namespace coriandergate::daemon {

namespace {

    using settings::DurationKind;
    using settings::SettingRegistration;

    const SettingRegistration ejectionHold { { "ejection-hold-ms", DurationKind { 1000, 300000 }, "5000",
        "a gray target stays out of service for so long the first time, and twice as long each time it recurs" } };
    const SettingRegistration coldGrace { { "cold-grace-ms", DurationKind { 0, 600000 }, "3000",
        "service times of a target that was started or readmitted are not judged for so long" } };

    const kernel::PluginRegistration registration { "health", 30, [] { return std::make_unique<HealthPlugin>(); } };

    const log::Event targetEjected { 1801, log::Severity::Warning, "target ejected",
        "the target is gray: see cause, and its own logs" };
    const log::Event targetReadmitted { 1802, log::Severity::Info, "target readmitted",
        "the target takes requests again and is watched more closely for a minute" };
    const log::Event floorReached {
        1803, log::Severity::Warning, "ejection withheld",
        "a gray target stays in service because healthy capacity would fall below the floor, or a seat was just taken"
    };

    auto causeText(health::Cause cause) -> std::string
    {
        switch (cause) {
        case health::Cause::None:
            break;
        case health::Cause::Slow:
            return "slow";
        case health::Cause::Failing:
            return "failing";
        case health::Cause::TruncatedResponses:
            return "half-answers";
        case health::Cause::Unreachable:
            return "unreachable";
        }
        return "none";
    }

} // namespace

struct HealthPlugin::Metrics {
    explicit Metrics(prometheus::Registry& registry)
        : ejections(prometheus::BuildCounter()
                        .Name("coriandergate_ejections_total")
                        .Help("Ejections of targets of this host")
                        .Register(registry))
        , ejected(prometheus::BuildGauge()
                      .Name("coriandergate_targets_ejected")
                      .Help("Targets of this host that are out of service")
                      .Register(registry)
                      .Add({}))
        , withheld(prometheus::BuildCounter()
                       .Name("coriandergate_ejections_withheld_total")
                       .Help("Reports on gray targets that got no permit")
                       .Register(registry)
                       .Add({}))
        , reports(prometheus::BuildCounter()
                      .Name("coriandergate_target_reports_total")
                      .Help("Reports sent on targets of this host")
                      .Register(registry)
                      .Add({}))
    {
    }

    prometheus::Family<prometheus::Counter>& ejections;
    prometheus::Gauge& ejected;
    prometheus::Counter& withheld;
    prometheus::Counter& reports;
};

HealthPlugin::HealthPlugin() = default;
HealthPlugin::~HealthPlugin() = default;

auto HealthPlugin::start(kernel::Kernel& kernel, Error&) -> bool
{
    const auto settings = kernel.find<settings::Settings>();
    m_firstHold = settings->duration("ejection-hold-ms");
    m_targets = kernel.find<member::TargetRegistry>();
    m_snapshots = kernel.find<proxy::SnapshotHolder>();
    m_metrics = std::make_unique<Metrics>(*kernel.find<prometheus::Registry>());
    HealthMonitor::Options options;
    options.observer.coldGrace = settings->duration("cold-grace-ms");
    m_monitor = std::make_shared<HealthMonitor>(options,
        [this](const health::TargetReport& report, MonotonicTime now, const HealthMonitor::Answered& answered) {
            answer(report, now, answered);
        });
    kernel.find<proxy::ProxyContext>()->observer = m_monitor;
    m_timer = std::make_unique<QTimer>();
    QObject::connect(m_timer.get(), &QTimer::timeout, m_timer.get(), [this] { tick(monotonicNow()); });
    m_timer->start(options.observer.interval);
    return true;
}

auto HealthPlugin::stop() -> void { m_timer.reset(); }

auto HealthPlugin::tick(MonotonicTime now) -> void
{
    dropTargets(now);
    for (const auto& change : m_monitor->update(m_targets->snapshot(now).targets, now)) {
        m_metrics->ejected.Increment(change.isEjected ? 1 : -1);
        if (!change.isEjected) {
            log::logEvent(targetReadmitted, { { "target", change.target }, { "service", change.service } });
            continue;
        }
        const auto cause = causeText(change.verdict.cause);
        m_metrics->ejections.Add({ { "cause", cause } }).Increment();
        log::logEvent(targetEjected,
            { { "target", change.target }, { "service", change.service }, { "cause", cause },
                { "evidence", std::to_string(change.verdict.evidence) } });
    }
}

auto HealthPlugin::answer(
    const health::TargetReport& report, MonotonicTime now, const HealthMonitor::Answered& answered) -> void
{
    m_metrics->reports.Increment();
    auto& decider = deciderOf(report.service, now);
    const auto answer = decider.receive(report, now);
    answered(answer);
    if (answer.isLessPreferred) {
        m_metrics->withheld.Increment();
        log::logEvent(floorReached, { { "target", report.target }, { "service", report.service } });
    }
    // The answers of the peers asked come back through here and must not ask again.
    if (std::exchange(m_isAsking, true))
        return;
    for (const auto& peer : decider.peersToPoll(now))
        m_monitor->sendReport(report.service, peer, now);
    m_isAsking = false;
}

auto HealthPlugin::deciderOf(const std::string& service, MonotonicTime now) -> health::EjectionDecider&
{
    auto& decider = m_deciders[service];
    if (!decider) {
        health::EjectionDecider::Options options;
        options.ejectionTime.initial = m_firstHold;
        // Permits that this daemon gave in an earlier run went to its own targets only and ended with that run.
        const auto seatHeldSince = now - options.leases.duration - options.leases.clockMargin;
        decider = std::make_unique<health::EjectionDecider>(options, seatHeldSince);
        decider->setLeadershipUntil(MonotonicTime::max());
    }
    const auto snapshot = m_snapshots->current();
    if (const auto* declared = snapshot ? snapshot->service(service) : nullptr)
        decider->setHealthyFloor(declared->healthyFloor);
    return *decider;
}

auto HealthPlugin::dropTargets(MonotonicTime now) -> void
{
    std::map<std::string, std::string> known;
    for (const auto& target : m_targets->snapshot(now).targets)
        known[target.announcement.address] = target.announcement.service;
    for (const auto& [address, service] : m_known)
        if (!known.contains(address) && m_deciders.contains(service))
            m_deciders[service]->removeTarget(address);
    m_known = std::move(known);
}

} // namespace coriandergate::daemon
