// Registers a plug-in before main() runs, from a namespace-scope constant in the plug-in's own source file.
//
//   const PluginRegistration registration { "health", 30, [] { return std::make_unique<HealthPlugin>(); } };
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace coriandergate::kernel {

class Plugin;

// PluginRegistration describes one plug-in; those with a lower `order` start first.
struct PluginRegistration {
    using Factory = std::function<std::unique_ptr<Plugin>()>;

    PluginRegistration(std::string pluginName, int startOrder, Factory pluginFactory);

    std::string name;
    int order;
    Factory factory;
};

// registeredPlugins() is every plug-in in its order of start. Not before main().
[[nodiscard]] auto registeredPlugins() -> std::vector<PluginRegistration>;

} // namespace coriandergate::kernel
