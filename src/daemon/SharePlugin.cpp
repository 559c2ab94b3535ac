#include "daemon/SharePlugin.h"

#include "base/Error.h"
#include "config/Snapshot.h"
#include "daemon/ShareGate.h"
#include "kernel/Kernel.h"
#include "kernel/PluginRegistration.h"
#include "proxy/ProxyContext.h"
#include "rpc/RpcClient.h"
#include "rpc/RpcRegistry.h"
#include "seat/SeatDirectory.h"
#include "seat/SeatLeaseClient.h"
#include "settings/SettingDefinition.h"
#include "settings/Settings.h"
#include "share/TokenMessageCodec.h"
#include "share/TokenServer.h"

#include <QTimer>
#include <nlohmann/json.hpp>
#include <prometheus/registry.h>

namespace coriandergate::daemon {

namespace {

    using settings::DurationKind;
    using settings::SettingRegistration;

    const SettingRegistration tokenLifetime { { "share-lifetime-ms", DurationKind { 60, 2000 }, "250",
        "longest time from the ask for a token until its request must have reached the target; the same everywhere" } };
    const SettingRegistration maximumWait { { "share-wait-ms", DurationKind { 100, 2000 }, "300",
        "longest wait of a request for its account's rate; the same everywhere" } };

    const kernel::PluginRegistration registration { "share", 45, [] { return std::make_unique<SharePlugin>(); } };

    constexpr std::chrono::milliseconds tickInterval { 5 };

    auto limitsSource(std::shared_ptr<const proxy::ProxyContext> context, const share::RateLimitOptions& options)
        -> share::BucketLimitsLookup
    {
        return [context = std::move(context), options](std::string_view name) -> std::optional<share::BucketLimits> {
            const auto snapshot = context->snapshot();
            const auto* const account = snapshot ? snapshot->clientAccount(name) : nullptr;
            if (!account)
                return std::nullopt;
            return share::bucketLimitsFor(account->ratePerSecond, account->burst, options);
        };
    }

    auto answerAsk(share::TokenServer& home, const nlohmann::json& parameters, Error& reason)
        -> std::optional<nlohmann::json>
    {
        const auto text = parameters.value("ask", std::string());
        const auto ask = share::decodeTokenRequest(text, reason);
        if (!ask)
            return std::nullopt;
        return nlohmann::json { { "grant", share::encodeTokenResponse(home.handleRequest(*ask, monotonicNow())) } };
    }

} // namespace

SharePlugin::SharePlugin() = default;
SharePlugin::~SharePlugin() = default;

auto SharePlugin::start(kernel::Kernel& kernel, Error&) -> bool
{
    const auto settings = kernel.find<settings::Settings>();
    const auto context = kernel.find<proxy::ProxyContext>();
    m_context = context;
    share::RateLimitOptions options;
    options.maximumTokenLifetime = settings->duration("share-lifetime-ms");
    options.maximumWait = settings->duration("share-wait-ms");
    // The kernel keeps the authority until every plug-in has stopped.
    const auto home = std::make_shared<share::TokenServer>(
        context->self, *kernel.find<seat::SeatLeaseClient>(), limitsSource(context, options), options);
    m_gate = std::make_shared<ShareGate>(ShareGate::Parts { context, kernel.find<seat::SeatDirectory>(), home,
        kernel.find<rpc::RpcClient>(), kernel.find<prometheus::Registry>(), options });
    context->rateGate = m_gate;
    kernel.find<rpc::RpcRegistry>()->add(shareAskMethod,
        [home](const nlohmann::json& parameters, Error& reason) { return answerAsk(*home, parameters, reason); });
    m_timer = std::make_unique<QTimer>();
    m_timer->setTimerType(Qt::PreciseTimer);
    QObject::connect(m_timer.get(), &QTimer::timeout, m_timer.get(), [this] { m_gate->tick(monotonicNow()); });
    m_timer->start(tickInterval);
    return true;
}

auto SharePlugin::stop() -> void
{
    m_timer.reset();
    m_context->rateGate.reset(); // it refers to the context in turn
    m_context.reset();
}

} // namespace coriandergate::daemon
