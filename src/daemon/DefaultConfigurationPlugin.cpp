#include "daemon/DefaultConfigurationPlugin.h"

#include "config/Configuration.h"
#include "config/KeyDigest.h"
#include "config/Snapshot.h"
#include "kernel/Kernel.h"
#include "kernel/PluginRegistration.h"
#include "proxy/SnapshotHolder.h"

namespace coriandergate::daemon {

namespace {

    const kernel::PluginRegistration registration { "default-configuration", 20,
        [] { return std::make_unique<DefaultConfigurationPlugin>(); } };

    auto makeConfiguration() -> config::Configuration
    {
        config::Configuration configuration;
        configuration.version = 1;
        configuration.services.push_back({ .name = "demo" });
        configuration.clientAccounts.push_back({ .name = "demo-account",
            .keyDigests = { config::digestOfKey("demo-key") },
            .ratePerSecond = 20,
            .burst = 10 });
        configuration.routes.push_back({ .name = "demo",
            .host = "",
            .pathPrefix = "/",
            .service = "demo",
            .repeatPolicy = config::RepeatPolicy::Idempotent });
        configuration.routes.push_back(
            { .name = "demo-open", .host = "", .pathPrefix = "/open", .service = "demo", .isOpen = true });
        configuration.routes.push_back(
            { .name = "demo-orders", .host = "", .pathPrefix = "/orders", .service = "demo" });
        return configuration;
    }

} // namespace

auto DefaultConfigurationPlugin::start(kernel::Kernel& kernel, Error&) -> bool
{
    auto configuration = std::make_shared<const config::Configuration>(makeConfiguration());
    kernel.find<proxy::SnapshotHolder>()->publish(std::make_shared<const config::Snapshot>(std::move(configuration)));
    return true;
}

} // namespace coriandergate::daemon
