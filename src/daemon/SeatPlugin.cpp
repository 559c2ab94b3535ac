#include "daemon/SeatPlugin.h"

#include "daemon/Readiness.h"
#include "daemon/SeatService.h"
#include "kernel/Kernel.h"
#include "kernel/PluginRegistration.h"
#include "rpc/RpcRegistry.h"
#include "seat/SeatDirectory.h"
#include "seat/SeatLeaseClient.h"

#include <QTimer>

namespace coriandergate::daemon {

namespace {

    const kernel::PluginRegistration registration { "seat", 40, [] { return std::make_unique<SeatPlugin>(); } };

} // namespace

SeatPlugin::SeatPlugin() = default;
SeatPlugin::~SeatPlugin() = default;

auto SeatPlugin::start(kernel::Kernel& kernel, Error&) -> bool
{
    m_service = std::make_shared<SeatService>(kernel);
    m_service->addMethods(*kernel.find<rpc::RpcRegistry>());
    kernel.provide(m_service->directory());
    kernel.provide(m_service->authority());
    kernel.find<Readiness>()->add(
        [directory = m_service->directory()] { return directory->map().epoch > 0 ? "" : "no seat map is known yet"; });
    m_timer = std::make_unique<QTimer>();
    m_timer->setTimerType(Qt::PreciseTimer);
    QObject::connect(m_timer.get(), &QTimer::timeout, m_timer.get(), [this] { m_service->tick(); });
    m_timer->start(SeatService::s_tickInterval);
    return true;
}

auto SeatPlugin::stop() -> void
{
    m_timer.reset();
    m_service->releaseAll();
    m_service.reset();
}

} // namespace coriandergate::daemon
