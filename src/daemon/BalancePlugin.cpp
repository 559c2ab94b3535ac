#include "daemon/BalancePlugin.h"

#include "base/Clock.h"
#include "daemon/BalancedTargetChooser.h"
#include "kernel/Kernel.h"
#include "kernel/PluginRegistration.h"
#include "member/PeerTable.h"
#include "proxy/ProxyContext.h"
#include "settings/SettingDefinition.h"
#include "settings/Settings.h"

#include <QTimer>

namespace coriandergate::daemon {

namespace {

    using settings::DurationKind;
    using settings::SettingRegistration;

    const SettingRegistration warmUp { { "warm-up-ms", DurationKind { 0, 600000 }, "10000",
        "over which the share of a new target grows to the full one" } };

    const kernel::PluginRegistration registration { "balance", 35, [] { return std::make_unique<BalancePlugin>(); } };

    constexpr auto refreshPeriod = std::chrono::milliseconds(250);

} // namespace

BalancePlugin::BalancePlugin() = default;
BalancePlugin::~BalancePlugin() = default;

auto BalancePlugin::start(kernel::Kernel& kernel, Error&) -> bool
{
    const auto context = kernel.find<proxy::ProxyContext>();
    balance::PowerOfTwoChoices policy;
    policy.warmUp = kernel.find<settings::Settings>()->duration("warm-up-ms");
    m_chooser = std::make_shared<BalancedTargetChooser>(
        *context, kernel.find<member::PeerTable>(), balance::TargetChooser::Options { context->locality, policy });
    context->targetChooser = m_chooser;
    m_timer = std::make_unique<QTimer>();
    QObject::connect(m_timer.get(), &QTimer::timeout, m_timer.get(), [this] { m_chooser->refresh(monotonicNow()); });
    m_timer->start(refreshPeriod);
    return true;
}

auto BalancePlugin::stop() -> void { m_timer.reset(); }

} // namespace coriandergate::daemon
