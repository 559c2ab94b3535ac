// Provides calls between daemons: the registry behind POST /rpc on the peer listener, and a client.
#pragma once

#include "kernel/Plugin.h"

#include <memory>

namespace coriandergate::rpc {
class RpcClient;
}

namespace coriandergate::daemon {

class RpcPlugin : public kernel::Plugin {
public:
    auto start(kernel::Kernel& kernel, Error& reason) -> bool override;
    auto stop() -> void override;

private:
    std::shared_ptr<rpc::RpcClient> m_client;
};

} // namespace coriandergate::daemon
