// Says whether the daemon is about to stop, so that health checks and other daemons send it nothing new.
#pragma once

#include <atomic>

namespace coriandergate::daemon {

// DrainState is safe from any thread; once draining, always draining.
class DrainState {
public:
    auto beginDrain() -> void { m_isDraining = true; }
    [[nodiscard]] auto isDraining() const -> bool { return m_isDraining; }

private:
    std::atomic<bool> m_isDraining = false;
};

} // namespace coriandergate::daemon
