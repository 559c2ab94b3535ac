// Provides what every other plug-in builds on: workers, clients, the targets of this host, the configuration holder and
// the context of the proxy.
#pragma once

#include "kernel/Plugin.h"

#include <memory>

class QTimer;

namespace coriandergate::http {
class WorkerPool;
}
namespace coriandergate::member {
class TargetRegistry;
}
namespace coriandergate::proxy {
struct ProxyContext;
}

namespace coriandergate::daemon {

class CorePlugin : public kernel::Plugin {
public:
    CorePlugin();
    ~CorePlugin() override;

    auto start(kernel::Kernel& kernel, Error& reason) -> bool override;
    auto stop() -> void override;

private:
    std::shared_ptr<http::WorkerPool> m_workers;
    std::shared_ptr<proxy::ProxyContext> m_context;
    std::shared_ptr<member::TargetRegistry> m_targets;
    std::unique_ptr<QTimer> m_expiry;
};

} // namespace coriandergate::daemon
