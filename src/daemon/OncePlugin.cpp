#include "daemon/OncePlugin.h"

#include "base/Error.h"
#include "daemon/LedgerOnceGate.h"
#include "daemon/OnceMetrics.h"
#include "daemon/PeerRouter.h"
#include "daemon/SeatFleetView.h"
#include "daemon/SoloFleetView.h"
#include "kernel/Kernel.h"
#include "kernel/PluginRegistration.h"
#include "log/Event.h"
#include "member/PeerSnapshot.h"
#include "member/PeerTable.h"
#include "proxy/ProxyContext.h"
#include "seat/SeatDirectory.h"
#include "seat/SeatLeaseClient.h"
#include "settings/SettingDefinition.h"
#include "settings/Settings.h"

#include <QTimer>
#include <optional>
#include <prometheus/registry.h>

namespace coriandergate::daemon {

namespace {

    using settings::DurationKind;
    using settings::IntegerKind;
    using settings::SettingRegistration;

    const SettingRegistration retention { { "once-retention-ms", DurationKind { 1000, 86400000 }, "3600000",
        "a once-only request with an Idempotency-Key is remembered for so long; the same on every daemon" } };
    const SettingRegistration maximumKeys { { "once-maximum-keys", IntegerKind { 1000, 10000000 }, "200000",
        "keys remembered by this daemon in each of its roles; above it new ones are refused" } };
    const SettingRegistration keptAnswer { { "once-kept-answer-bytes", IntegerKind { 0, 65536 }, "2048",
        "an answer up to this size is kept and given again" } };
    const SettingRegistration witnessSpread { { "once-witness-spread", settings::TextKind { false }, "auto",
        "where else a once-only request is remembered: data-centre, host, none, or auto, which is data-centre in a "
        "fleet "
        "and none for a single daemon" } };

    // After the plug-ins that know the fleet.
    const kernel::PluginRegistration registration { "once", 45, [] { return std::make_unique<OncePlugin>(); } };

    const log::Event handedOver { 1703, log::Severity::Info, "records of once-only requests handed over",
        "when no other daemon has taken them, the planned stop counts as a loss" };

    constexpr std::chrono::milliseconds tickPeriod { 200 };

    auto parseSpread(const std::string& text, bool isSolo) -> std::optional<LedgerOnceGate::Spread>
    {
        using Spread = LedgerOnceGate::Spread;
        if (text == "auto")
            return isSolo ? Spread::None : Spread::DataCentre;
        if (text == "data-centre")
            return Spread::DataCentre;
        if (text == "host")
            return Spread::Host;
        return text == "none" ? std::optional(Spread::None) : std::nullopt;
    }

    auto readOptions(const settings::Settings& settings, LedgerOnceGate::Spread spread) -> LedgerOnceGate::Options
    {
        LedgerOnceGate::Options options;
        const auto keys = static_cast<std::size_t>(settings.integer("once-maximum-keys"));
        const auto answerBytes = static_cast<std::size_t>(settings.integer("once-kept-answer-bytes"));
        options.spread = spread;
        options.ledger.rebuild.retention = settings.duration("once-retention-ms");
        options.ledger.rebuild.isSpreadAcrossDataCentres = spread == LedgerOnceGate::Spread::DataCentre;
        options.ledger.maximumKeys = keys;
        options.ledger.maximumResponseBytes = answerBytes;
        options.attempts.retention = options.ledger.rebuild.retention;
        options.attempts.maximumAttempts = keys;
        options.attempts.maximumResponseBytes = answerBytes;
        options.witness.retention = options.ledger.rebuild.retention;
        options.witness.maximumRecords = keys;
        return options;
    }

    // A daemon that was given neither peers nor a store is alone. One that has a store may meet others at any time.
    auto makeFleetView(kernel::Kernel& kernel, const settings::Settings& settings, const proxy::ProxyContext& context)
        -> std::shared_ptr<OnceFleetView>
    {
        const auto directory = kernel.find<seat::SeatDirectory>();
        const auto authority = kernel.find<seat::SeatLeaseClient>();
        const auto peers = kernel.find<member::PeerTable>();
        const auto isAlone = settings.list("peers").empty() && settings.text("store").empty();
        if (isAlone || !directory || !authority || !peers)
            return nullptr;
        const auto view = std::make_shared<SeatFleetView>(
            context.self, context.locality, directory, authority, peers, settings.duration("once-retention-ms"));
        peers->observe([view](const member::PeerSnapshot& snapshot) { view->observe(snapshot, monotonicNow()); });
        return view;
    }

} // namespace

OncePlugin::OncePlugin() = default;
OncePlugin::~OncePlugin() = default;

auto OncePlugin::start(kernel::Kernel& kernel, Error& reason) -> bool
{
    const auto settings = kernel.find<settings::Settings>();
    const auto context = kernel.find<proxy::ProxyContext>();
    const auto fleet = makeFleetView(kernel, *settings, *context);
    const auto view = fleet ? fleet : std::make_shared<SoloFleetView>(context->self);
    const auto parsed = parseSpread(settings->text("once-witness-spread"), !fleet);
    if (!parsed) {
        reason = { "read settings", "once-witness-spread", "allowed are data-centre, host, none and auto" };
        return false;
    }
    m_gate = std::make_shared<LedgerOnceGate>(readOptions(*settings, *parsed), context, view, monotonicNow());
    m_gate->addHandlers(*kernel.find<PeerRouter>());
    m_gate->tick(monotonicNow());
    context->onceGate = m_gate;
    m_metrics = std::make_unique<OnceMetrics>(*kernel.find<prometheus::Registry>());
    m_timer = std::make_unique<QTimer>();
    QObject::connect(m_timer.get(), &QTimer::timeout, m_timer.get(), [this] {
        m_gate->tick(monotonicNow());
        m_metrics->update(*m_gate);
    });
    m_timer->start(tickPeriod);
    return true;
}

auto OncePlugin::stop() -> void
{
    m_timer.reset();
    const auto isTaken = m_gate->handOver(monotonicNow());
    log::logEvent(handedOver, { { "taken", isTaken ? "yes" : "no" } });
}

} // namespace coriandergate::daemon
