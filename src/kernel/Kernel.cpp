#include "kernel/Kernel.h"

#include "base/Error.h"
#include "kernel/Plugin.h"
#include "kernel/PluginRegistration.h"

namespace coriandergate::kernel {

Kernel::Kernel() = default;

Kernel::~Kernel() { stop(); }

auto Kernel::start(Error& reason) -> bool
{
    for (const auto& registration : registeredPlugins()) {
        auto plugin = registration.factory();
        if (!plugin->start(*this, reason)) {
            reason.step = "start plug-in " + registration.name + ": " + reason.step;
            stop();
            return false;
        }
        m_started.push_back(std::move(plugin));
    }
    return true;
}

auto Kernel::stop() -> void
{
    while (!m_started.empty()) {
        m_started.back()->stop();
        m_started.pop_back();
    }
    m_services.clear();
}

} // namespace coriandergate::kernel
