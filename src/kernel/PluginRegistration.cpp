#include "kernel/PluginRegistration.h"

#include "kernel/Plugin.h"

#include <algorithm>
#include <utility>

namespace coriandergate::kernel {

namespace {

    auto registry() -> std::vector<PluginRegistration>&
    {
        static std::vector<PluginRegistration> s_plugins;
        return s_plugins;
    }

} // namespace

PluginRegistration::PluginRegistration(std::string pluginName, int startOrder, Factory pluginFactory)
    : name(std::move(pluginName))
    , order(startOrder)
    , factory(std::move(pluginFactory))
{
    registry().push_back(*this);
}

auto registeredPlugins() -> std::vector<PluginRegistration>
{
    auto plugins = registry();
    std::stable_sort(
        plugins.begin(), plugins.end(), [](const auto& left, const auto& right) { return left.order < right.order; });
    return plugins;
}

} // namespace coriandergate::kernel
