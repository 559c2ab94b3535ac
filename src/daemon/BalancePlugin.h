// Wires the choice of targets into the daemon.
#pragma once

#include "kernel/Plugin.h"

#include <memory>

class QTimer;

namespace coriandergate::daemon {

class BalancedTargetChooser;

class BalancePlugin : public kernel::Plugin {
public:
    BalancePlugin();
    ~BalancePlugin() override;

    auto start(kernel::Kernel& kernel, Error& reason) -> bool override;
    auto stop() -> void override;

private:
    std::shared_ptr<BalancedTargetChooser> m_chooser;
    std::unique_ptr<QTimer> m_timer;
};

} // namespace coriandergate::daemon
