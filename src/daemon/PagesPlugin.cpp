#include "daemon/PagesPlugin.h"

#include "daemon/AdminRouter.h"
#include "daemon/DrainState.h"
#include "daemon/Readiness.h"
#include "http/Exchange.h"
#include "http/Status.h"
#include "kernel/Kernel.h"
#include "kernel/PluginRegistration.h"
#include "proxy/SnapshotHolder.h"

#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace coriandergate::daemon {

namespace {

    const kernel::PluginRegistration registration { "pages", 60, [] { return std::make_unique<PagesPlugin>(); } };

} // namespace

auto PagesPlugin::start(kernel::Kernel& kernel, Error&) -> bool
{
    const auto router = kernel.find<AdminRouter>();
    const auto holder = kernel.find<proxy::SnapshotHolder>();
    const auto drainState = kernel.find<DrainState>();
    const auto registry = kernel.find<prometheus::Registry>();
    const auto readiness = kernel.find<Readiness>();
    readiness->add([drainState] { return drainState->isDraining() ? "draining" : ""; });
    readiness->add([holder] { return holder->current() ? "" : "no configuration is known yet"; });
    router->add("GET", "/healthz", [readiness](std::shared_ptr<http::Exchange> exchange) {
        const auto lacking = readiness->lacking();
        exchange->answer(lacking.empty() ? http::makeAnswer(200, "text/plain", "serving\n")
                                         : http::makeAnswer(http::statusUnavailable, "text/plain", lacking + "\n"));
    });
    router->add("GET", "/metrics", [registry](std::shared_ptr<http::Exchange> exchange) {
        const prometheus::TextSerializer serializer;
        exchange->answer(http::makeAnswer(
            200, "text/plain; version=0.0.4; charset=utf-8", serializer.Serialize(registry->Collect())));
    });
    return true;
}

} // namespace coriandergate::daemon
