// Keeps client accounts within their rate and burst over all daemons: a home for the accounts whose seats this daemon
// holds, and the gate that requests pass.
#pragma once

#include "kernel/Plugin.h"

#include <memory>

class QTimer;

namespace coriandergate::proxy {
struct ProxyContext;
}

namespace coriandergate::daemon {

class ShareGate;

class SharePlugin : public kernel::Plugin {
public:
    SharePlugin();
    ~SharePlugin() override;

    auto start(kernel::Kernel& kernel, Error& reason) -> bool override;
    auto stop() -> void override;

private:
    std::shared_ptr<proxy::ProxyContext> m_context;
    std::shared_ptr<ShareGate> m_gate;
    std::unique_ptr<QTimer> m_timer;
};

} // namespace coriandergate::daemon
