// Holds and guards seats. Provides seat::SeatDirectory and seat::SeatLeaseClient.
#pragma once

#include "kernel/Plugin.h"

#include <memory>

class QTimer;

namespace coriandergate::daemon {

class SeatService;

class SeatPlugin : public kernel::Plugin {
public:
    SeatPlugin();
    ~SeatPlugin() override;

    auto start(kernel::Kernel& kernel, Error& reason) -> bool override;
    auto stop() -> void override;

private:
    std::shared_ptr<SeatService> m_service;
    std::unique_ptr<QTimer> m_timer;
};

} // namespace coriandergate::daemon
