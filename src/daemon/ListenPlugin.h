// Opens the daemon's three listeners, for callers, for other daemons and for operators and targets, once everything
// else is in place, and drains them at a planned stop.
#pragma once

#include "kernel/Plugin.h"

#include <chrono>
#include <memory>

class QTimer;

namespace coriandergate::http {
class Server;
}
namespace coriandergate::settings {
class Settings;
}

namespace coriandergate::daemon {

class DrainState;
class ReleaseMetrics;

class ListenPlugin : public kernel::Plugin {
public:
    ListenPlugin();
    ~ListenPlugin() override;

    auto start(kernel::Kernel& kernel, Error& reason) -> bool override;

    // stop() serves on for the drain delay, then waits until no request is under way or the drain timeout is over.
    auto stop() -> void override;

private:
    [[nodiscard]] auto isBusy() const -> bool;
    auto spinFor(std::chrono::milliseconds duration) -> void;
    auto updateMetrics() -> void;

    std::shared_ptr<settings::Settings> m_settings;
    std::shared_ptr<DrainState> m_drainState;
    std::unique_ptr<http::Server> m_callers;
    std::unique_ptr<http::Server> m_peers;
    std::unique_ptr<http::Server> m_admin;
    std::unique_ptr<ReleaseMetrics> m_metrics;
    std::unique_ptr<QTimer> m_metricsTimer;
};

} // namespace coriandergate::daemon
