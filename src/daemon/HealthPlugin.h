// Wires gray detection and ejection into the daemon.
//
// The daemon holds the seat of every service for the targets of its own host: it compares them with one another.
#pragma once

#include "daemon/HealthMonitor.h"
#include "kernel/Plugin.h"

#include <memory>

class QTimer;

namespace coriandergate::health {
class EjectionDecider;
}
namespace coriandergate::member {
class TargetRegistry;
}
namespace coriandergate::proxy {
class SnapshotHolder;
}

namespace coriandergate::daemon {

class HealthPlugin : public kernel::Plugin {
public:
    HealthPlugin();
    ~HealthPlugin() override;

    auto start(kernel::Kernel& kernel, Error& reason) -> bool override;
    auto stop() -> void override;

private:
    struct Metrics;

    auto tick(MonotonicTime now) -> void;
    auto answer(const health::TargetReport& report, MonotonicTime now, const HealthMonitor::Answered& answered) -> void;
    [[nodiscard]] auto deciderOf(const std::string& service, MonotonicTime now) -> health::EjectionDecider&;
    auto dropTargets(MonotonicTime now) -> void;

    std::shared_ptr<member::TargetRegistry> m_targets;
    std::shared_ptr<proxy::SnapshotHolder> m_snapshots;
    std::shared_ptr<HealthMonitor> m_monitor;
    std::map<std::string, std::unique_ptr<health::EjectionDecider>> m_deciders;
    std::map<std::string, std::string> m_known; // service of each target's address
    std::unique_ptr<Metrics> m_metrics;
    std::unique_ptr<QTimer> m_timer;
    std::chrono::milliseconds m_firstHold { 0 };
    bool m_isAsking = false;
};

} // namespace coriandergate::daemon
