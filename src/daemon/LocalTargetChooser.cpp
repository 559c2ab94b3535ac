#include "daemon/LocalTargetChooser.h"

#include "member/TargetRegistry.h"

#include <algorithm>

namespace coriandergate::daemon {

LocalTargetChooser::LocalTargetChooser(
    std::shared_ptr<member::TargetRegistry> targets, const DaemonIdentity& self, const Locality& locality)
    : m_targets(std::move(targets))
    , m_self(self)
    , m_locality(locality)
{
}

auto LocalTargetChooser::choose(std::string_view service, std::span<const std::string> excluded, MonotonicTime now)
    -> std::optional<proxy::TargetChoice>
{
    const auto targets = m_targets->targetsOf(service, now);
    const auto first = m_next++;
    for (std::size_t i = 0; i < targets.size(); ++i) {
        const auto& target = targets[(first + i) % targets.size()];
        const auto& address = target.announcement.address;
        const bool isExcluded = std::find(excluded.begin(), excluded.end(), address) != excluded.end();
        if (target.state == member::TargetState::Serving && !isExcluded)
            return proxy::TargetChoice { std::string(service), address, m_self, m_locality, 0 };
    }
    return std::nullopt;
}

auto LocalTargetChooser::finished(const proxy::TargetChoice&, const proxy::AttemptReport&, MonotonicTime) -> void { }

} // namespace coriandergate::daemon
