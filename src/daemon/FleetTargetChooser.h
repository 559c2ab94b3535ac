// Takes the nearest targets of a service in turn, those of this host and those behind other daemons alike; for a daemon
// that has no better way to choose.
#pragma once

#include "base/Locality.h"
#include "proxy/TargetChooser.h"

#include <atomic>
#include <memory>
#include <vector>

namespace coriandergate::member {
class PeerTable;
class TargetRegistry;
}

namespace coriandergate::daemon {

class FleetTargetChooser : public proxy::TargetChooser {
public:
    FleetTargetChooser(std::shared_ptr<member::TargetRegistry> targets, std::shared_ptr<member::PeerTable> peers,
        DaemonIdentity self, Locality locality);

    auto choose(std::string_view service, std::span<const std::string> excluded, MonotonicTime now)
        -> std::optional<proxy::TargetChoice> override;
    auto finished(const proxy::TargetChoice& choice, const proxy::AttemptReport& report, MonotonicTime now)
        -> void override;

private:
    [[nodiscard]] auto nearestTargets(std::string_view service, std::span<const std::string> excluded,
        MonotonicTime now) const -> std::vector<proxy::TargetChoice>;

    std::shared_ptr<member::TargetRegistry> m_targets;
    std::shared_ptr<member::PeerTable> m_peers;
    const DaemonIdentity m_self;
    const Locality m_locality;
    std::atomic<std::size_t> m_next = 0;
};

} // namespace coriandergate::daemon
