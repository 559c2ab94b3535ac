#include "proxy/ProxyContext.h"

#include "http/WorkerPool.h"

namespace coriandergate::proxy {

auto ProxyContext::runOn(std::size_t index, std::function<void()> task) const -> void
{
    if (workers->current() == index)
        task();
    else
        workers->post(index, std::move(task));
}

} // namespace coriandergate::proxy
