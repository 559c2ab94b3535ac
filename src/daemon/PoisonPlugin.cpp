#include "daemon/PoisonPlugin.h"

#include "daemon/JudgePoisonGate.h"
#include "http/WorkerPool.h"
#include "kernel/Kernel.h"
#include "kernel/PluginRegistration.h"
#include "proxy/ProxyContext.h"
#include "settings/SettingDefinition.h"
#include "settings/Settings.h"

#include <QTimer>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

namespace coriandergate::daemon {

namespace {

    using settings::DurationKind;
    using settings::SettingRegistration;

    const SettingRegistration suspectFor { { "suspect-ms", DurationKind { 1000, 3600000 }, "60000",
        "a request whose target crashed runs alone for so long, or until it has run once without a crash" } };
    const SettingRegistration poisonFor { { "poison-ms", DurationKind { 1000, 86400000 }, "600000",
        "a request that crashed two targets is refused for so long" } };

    const kernel::PluginRegistration registration { "poison", 45, [] { return std::make_unique<PoisonPlugin>(); } };

    constexpr auto metricsPeriod = std::chrono::milliseconds(1000);

} // namespace

PoisonPlugin::PoisonPlugin() = default;
PoisonPlugin::~PoisonPlugin() = default;

auto PoisonPlugin::start(kernel::Kernel& kernel, Error&) -> bool
{
    const auto settings = kernel.find<settings::Settings>();
    poison::PoisonDetector::Options options;
    options.suspectTtl = settings->duration("suspect-ms");
    options.poisonTtl = settings->duration("poison-ms");
    m_gate = std::make_shared<JudgePoisonGate>(kernel.find<http::WorkerPool>(), options);
    kernel.find<proxy::ProxyContext>()->poisonGate = m_gate;
    auto& family = prometheus::BuildGauge()
                       .Name("coriandergate_poison_requests")
                       .Help("Requests suspected, found poisonous, and refused as such, since the start")
                       .Register(*kernel.find<prometheus::Registry>());
    auto& suspected = family.Add({ { "kind", "suspected" } });
    auto& poisoned = family.Add({ { "kind", "poisonous" } });
    auto& refused = family.Add({ { "kind", "refused" } });
    m_timer = std::make_unique<QTimer>();
    QObject::connect(m_timer.get(), &QTimer::timeout, m_timer.get(), [this, &suspected, &poisoned, &refused] {
        suspected.Set(static_cast<double>(m_gate->counts().suspected));
        poisoned.Set(static_cast<double>(m_gate->counts().poisoned));
        refused.Set(static_cast<double>(m_gate->counts().refused));
    });
    m_timer->start(metricsPeriod);
    return true;
}

auto PoisonPlugin::stop() -> void { m_timer.reset(); }

} // namespace coriandergate::daemon
