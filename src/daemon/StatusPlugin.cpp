#include "daemon/StatusPlugin.h"

#include "base/Error.h"
#include "daemon/AdminRouter.h"
#include "daemon/DrainState.h"
#include "daemon/StatusPage.h"
#include "http/Exchange.h"
#include "kernel/Kernel.h"
#include "kernel/PluginRegistration.h"
#include "member/PeerTable.h"
#include "member/TargetRegistry.h"
#include "proxy/ProxyContext.h"
#include "proxy/SnapshotHolder.h"
#include "settings/SettingDefinition.h"
#include "settings/Settings.h"

namespace coriandergate::daemon {

namespace {

    using settings::DurationKind;
    using settings::SettingRegistration;
    using settings::TextKind;

    const SettingRegistration statusPath { { "status-path", TextKind { false }, "/status",
        "path of the status page on the callers' listener; it goes before every route" } };
    const SettingRegistration statusLine { { "status-line", TextKind { false },
        "{route} {action} targets={targets} age_ms={age_ms} retry_after_s={retry_after_s} reason={reason}",
        "form of each line of the status page" } };
    const SettingRegistration statusWords { { "status-words", TextKind { false }, "call,wait,retry",
        "the three words that stand for call, wait and retry" } };
    const SettingRegistration statusStale { { "status-stale-ms", DurationKind { 100, 60000 }, "1500",
        "news of a target that is older makes the status page say wait" } };
    const SettingRegistration statusHold { { "status-refusal-hold-ms", DurationKind { 0, 60000 }, "2000",
        "a refusal for want of a target makes the status page say retry for so long" } };

    const kernel::PluginRegistration registration { "status", 800, [] { return std::make_unique<StatusPlugin>(); } };

} // namespace

auto StatusPlugin::start(kernel::Kernel& kernel, Error& reason) -> bool
{
    const auto settings = kernel.find<settings::Settings>();
    const auto format
        = status::LineFormat::parse(settings->text("status-line"), settings->text("status-words"), reason);
    if (!format)
        return false;
    const StatusPage::Sources sources { kernel.find<proxy::SnapshotHolder>(), kernel.find<member::TargetRegistry>(),
        kernel.find<member::PeerTable>(), kernel.find<proxy::ProxyContext>()->serviceBoard, kernel.find<DrainState>() };
    const auto page = std::make_shared<StatusPage>(sources, settings->text("status-path"), *format,
        status::Advice::Options {
            settings->duration("status-stale-ms"), settings->duration("status-refusal-hold-ms") });
    kernel.provide(page);
    kernel.find<AdminRouter>()->add("GET", "/status",
        [page](std::shared_ptr<http::Exchange> exchange) { exchange->answer(page->makePage(monotonicNow())); });
    return true;
}

} // namespace coriandergate::daemon
