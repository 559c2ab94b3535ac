#include "daemon/DeclarationPlugin.h"

#include "base/Error.h"
#include "config/Declaration.h"
#include "config/Snapshot.h"
#include "kernel/Kernel.h"
#include "kernel/PluginRegistration.h"
#include "proxy/SnapshotHolder.h"
#include "settings/SettingDefinition.h"
#include "settings/Settings.h"

#include <fstream>
#include <sstream>

namespace coriandergate::daemon {

namespace {

    const settings::SettingRegistration declarationFile { { "declaration", settings::TextKind { true }, "",
        "file with the configuration of a daemon that has no store; empty: a built-in one for a first try" } };

    const kernel::PluginRegistration registration { "declaration", 20,
        [] { return std::make_unique<DeclarationPlugin>(); } };

    // The key of demo-account is "demo-key".
    constexpr std::string_view builtInDeclaration = R"(
services:
  - name: demo
clientAccounts:
  - name: demo-account
    ratePerSecond: 20
    burst: 10
    keyDigests: [e229ec1be2faa7a5dec6aad7aff1591e1e9b1683ed3f08cce11be9bd06dd2c67]
routes:
  - { name: demo, pathPrefix: /, service: demo, repeatPolicy: idempotent }
  - { name: demo-open, pathPrefix: /open, service: demo, isOpen: true, repeatPolicy: idempotent }
  - { name: demo-orders, pathPrefix: /orders, service: demo }
)";

    auto readFile(const std::string& name, Error& reason) -> std::optional<std::string>
    {
        std::ifstream file(name);
        if (!file) {
            reason = { "read declaration", name, "the file can't be opened" };
            return std::nullopt;
        }
        std::stringstream text;
        text << file.rdbuf();
        return text.str();
    }

} // namespace

auto DeclarationPlugin::start(kernel::Kernel& kernel, Error& reason) -> bool
{
    const auto settings = kernel.find<settings::Settings>();
    // With a store, its configuration counts, not one of this daemon's own.
    if (!settings->text("store").empty())
        return true;
    const auto& name = settings->text("declaration");
    const auto text = name.empty() ? std::string(builtInDeclaration) : readFile(name, reason);
    if (!text)
        return false;
    std::vector<config::DeclarationFault> faults;
    auto declaration = config::parseDeclaration(*text, faults);
    if (!declaration) {
        reason = { "check declaration", name, "" };
        for (const auto& fault : faults)
            reason.reason += (reason.reason.empty() ? "" : "; ") + fault.toText(name);
        return false;
    }
    declaration->configuration.version = 1;
    auto configuration = std::make_shared<const config::Configuration>(std::move(declaration->configuration));
    kernel.find<proxy::SnapshotHolder>()->publish(std::make_shared<const config::Snapshot>(std::move(configuration)));
    return true;
}

} // namespace coriandergate::daemon
