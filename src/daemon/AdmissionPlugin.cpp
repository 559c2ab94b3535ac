#include "daemon/AdmissionPlugin.h"

#include "daemon/AdmissionMetrics.h"
#include "daemon/BudgetRetryGate.h"
#include "daemon/FairSlotGate.h"
#include "kernel/Kernel.h"
#include "kernel/PluginRegistration.h"
#include "log/Event.h"
#include "member/TargetRegistry.h"
#include "proxy/ProxyContext.h"
#include "settings/SettingDefinition.h"
#include "settings/Settings.h"

#include <QTimer>
#include <prometheus/registry.h>

namespace coriandergate::daemon {

using std::chrono::milliseconds;

namespace {

    using settings::DurationKind;
    using settings::IntegerKind;
    using settings::SettingRegistration;

    const SettingRegistration queueLimit { { "queue-limit", IntegerKind { 1, 100000 }, "512",
        "requests that may wait for one target" } };
    const SettingRegistration queueLimitPerAccount { { "queue-limit-per-account", IntegerKind { 1, 100000 }, "128",
        "requests of one client account that may wait for one target" } };
    const SettingRegistration unknownServiceTime { { "unknown-service-time-ms", DurationKind { 1, 60000 }, "5",
        "service time expected of a target that hasn't answered yet" } };
    const SettingRegistration retryPercent { { "retry-percent", IntegerKind { 0, 100 }, "10",
        "further attempts allowed for each 100 requests to a service" } };
    const SettingRegistration retryBurst { { "retry-burst", IntegerKind { 1, 1000 }, "10",
        "further attempts that a service may save up" } };
    const SettingRegistration maximumAttempts { { "maximum-attempts", IntegerKind { 1, 3 }, "3",
        "attempts at one request, the first included" } };

    const kernel::PluginRegistration registration { "admission", 40,
        [] { return std::make_unique<AdmissionPlugin>(); } };

    const log::Event queueing { 1601, log::Severity::Info, "requests wait for slots",
        "the targets of this host have no free slot; add targets when it stays so" };
    const log::Event queuesEmpty { 1602, log::Severity::Info, "no request waits", "the targets keep up again" };

    constexpr milliseconds wakePeriod { 100 };
    constexpr double percent = 100;

} // namespace

AdmissionPlugin::AdmissionPlugin() = default;
AdmissionPlugin::~AdmissionPlugin() = default;

auto AdmissionPlugin::start(kernel::Kernel& kernel, Error&) -> bool
{
    const auto settings = kernel.find<settings::Settings>();
    const auto context = kernel.find<proxy::ProxyContext>();
    const auto targets = kernel.find<member::TargetRegistry>();
    m_slots = std::make_shared<FairSlotGate>(admission::SlotTable::Options {
        .queue = { .maximumRequests = static_cast<std::size_t>(settings->integer("queue-limit")),
            .maximumRequestsPerAccount = static_cast<std::size_t>(settings->integer("queue-limit-per-account")) },
        .initialServiceTime = settings->duration("unknown-service-time-ms") });
    m_retries = std::make_shared<BudgetRetryGate>(BudgetRetryGate::Options {
        .budget = { .serviceTokensPerRequest = static_cast<double>(settings->integer("retry-percent")) / percent,
            .maximumServiceTokens = static_cast<double>(settings->integer("retry-burst")) },
        .retry = { .maximumAttempts = static_cast<unsigned>(settings->integer("maximum-attempts")) } });
    context->slotGate = m_slots;
    context->retryGate = m_retries;
    m_metrics = std::make_unique<AdmissionMetrics>(*kernel.find<prometheus::Registry>());
    m_wake = std::make_unique<QTimer>();
    QObject::connect(m_wake.get(), &QTimer::timeout, m_wake.get(), [this, targets] { wake(*targets, monotonicNow()); });
    m_wake->start(wakePeriod);
    return true;
}

auto AdmissionPlugin::wake(const member::TargetRegistry& targets, MonotonicTime now) -> void
{
    const auto isServing = [&](const FairSlotGate::Target& wanted) {
        const auto found = targets.find(wanted.first, wanted.second, now);
        return found && found->state == member::TargetState::Serving;
    };
    m_slots->wake(isServing, now);
    m_metrics->update(*m_slots, *m_retries);
    const auto waiting = m_slots->totalLoad().waiting;
    if ((waiting > 0) == m_hasQueue)
        return;
    m_hasQueue = waiting > 0;
    log::logEvent(m_hasQueue ? queueing : queuesEmpty, { { "waiting", std::to_string(waiting) } });
}

auto AdmissionPlugin::stop() -> void { m_wake.reset(); }

} // namespace coriandergate::daemon
