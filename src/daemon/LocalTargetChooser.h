// Takes the targets of this host in turn; for a daemon that has no other way to choose.
#pragma once

#include "base/Locality.h"
#include "proxy/TargetChooser.h"

#include <atomic>
#include <memory>

namespace coriandergate::member {
class TargetRegistry;
}

namespace coriandergate::daemon {

class LocalTargetChooser : public proxy::TargetChooser {
public:
    LocalTargetChooser(
        std::shared_ptr<member::TargetRegistry> targets, const DaemonIdentity& self, const Locality& locality);

    auto choose(std::string_view service, std::span<const std::string> excluded, MonotonicTime now)
        -> std::optional<proxy::TargetChoice> override;
    auto finished(const proxy::TargetChoice& choice, const proxy::AttemptReport& report, MonotonicTime now)
        -> void override;

private:
    std::shared_ptr<member::TargetRegistry> m_targets;
    DaemonIdentity m_self;
    Locality m_locality;
    std::atomic<std::size_t> m_next = 0;
};

} // namespace coriandergate::daemon
