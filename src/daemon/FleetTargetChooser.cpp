#include "daemon/FleetTargetChooser.h"

#include "member/PeerTable.h"
#include "member/TargetRegistry.h"

#include <algorithm>

namespace coriandergate::daemon {

namespace {

    // distanceOf() is 0 within the data centre, 1 within the region and 2 beyond.
    auto distanceOf(const Locality& here, const Locality& there) -> int
    {
        if (here.region != there.region)
            return 2;
        return here.dataCentre == there.dataCentre ? 0 : 1;
    }

    auto isIn(std::span<const std::string> excluded, const std::string& address) -> bool
    {
        return std::find(excluded.begin(), excluded.end(), address) != excluded.end();
    }

} // namespace

FleetTargetChooser::FleetTargetChooser(std::shared_ptr<member::TargetRegistry> targets,
    std::shared_ptr<member::PeerTable> peers, DaemonIdentity self, Locality locality)
    : m_targets(std::move(targets))
    , m_peers(std::move(peers))
    , m_self(std::move(self))
    , m_locality(std::move(locality))
{
}

auto FleetTargetChooser::choose(std::string_view service, std::span<const std::string> excluded, MonotonicTime now)
    -> std::optional<proxy::TargetChoice>
{
    auto nearest = nearestTargets(service, excluded, now);
    if (nearest.empty())
        return std::nullopt;
    return std::move(nearest[m_next++ % nearest.size()]);
}

auto FleetTargetChooser::finished(const proxy::TargetChoice&, const proxy::AttemptReport&, MonotonicTime) -> void { }

auto FleetTargetChooser::nearestTargets(std::string_view service, std::span<const std::string> excluded,
    MonotonicTime now) const -> std::vector<proxy::TargetChoice>
{
    std::vector<proxy::TargetChoice> nearest;
    auto nearestDistance = 0;
    for (const auto& target : m_targets->targetsOf(service, now)) {
        const auto& address = target.announcement.address;
        if (target.state == member::TargetState::Serving && !isIn(excluded, address))
            nearest.push_back({ std::string(service), address, m_self, m_locality, 0 });
    }
    const auto peers = m_peers->current();
    for (const auto& target : peers->targetsOf(service)) {
        const auto distance = distanceOf(m_locality, target.locality);
        if (isIn(excluded, target.address) || (!nearest.empty() && distance > nearestDistance))
            continue;
        if (nearest.empty() || distance < nearestDistance) {
            nearest.clear();
            nearestDistance = distance;
        }
        nearest.push_back({ std::string(service), target.address, target.owner, target.locality, 0 });
    }
    return nearest;
}

} // namespace coriandergate::daemon
