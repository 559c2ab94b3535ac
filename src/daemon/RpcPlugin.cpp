#include "daemon/RpcPlugin.h"

#include "daemon/PeerRouter.h"
#include "http/Exchange.h"
#include "http/WorkerPool.h"
#include "kernel/Kernel.h"
#include "kernel/PluginRegistration.h"
#include "rpc/RpcClient.h"
#include "rpc/RpcRegistry.h"

namespace coriandergate::daemon {

namespace {

    const kernel::PluginRegistration registration { "rpc", 20, [] { return std::make_unique<RpcPlugin>(); } };

} // namespace

auto RpcPlugin::start(kernel::Kernel& kernel, Error&) -> bool
{
    const auto workers = kernel.find<http::WorkerPool>();
    const auto registry = std::make_shared<rpc::RpcRegistry>();
    m_client = std::make_shared<rpc::RpcClient>(*workers, rpc::RpcClient::Options {});
    kernel.provide(registry);
    kernel.provide(m_client);
    kernel.find<PeerRouter>()->add("POST", "/rpc", [registry](std::shared_ptr<http::Exchange> exchange) {
        exchange->answer(http::makeAnswer(200, "application/json", registry->handle(exchange->request().body)));
    });
    return true;
}

auto RpcPlugin::stop() -> void { m_client.reset(); }

} // namespace coriandergate::daemon
