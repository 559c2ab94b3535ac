#include "daemon/AdminRouter.h"

#include "http/Exchange.h"
#include "http/Problem.h"
#include "http/Status.h"

namespace coriandergate::daemon {

auto AdminRouter::add(const std::string& method, const std::string& path, Handler handler) -> void
{
    m_handlers[path][method] = std::move(handler);
}

auto AdminRouter::findMethods(std::string path) const -> const std::map<std::string, Handler>*
{
    if (const auto exact = m_handlers.find(path); exact != m_handlers.end())
        return &exact->second;
    while (path.size() > 1) {
        path.pop_back();
        path.erase(path.rfind('/') + 1);
        const auto found = m_handlers.find(path);
        if (found != m_handlers.end() && path != "/")
            return &found->second;
    }
    return nullptr;
}

auto AdminRouter::handle(std::shared_ptr<http::Exchange> exchange) const -> void
{
    const auto& target = exchange->request().target;
    const auto* methods = findMethods(target.substr(0, target.find('?')));
    if (!methods) {
        exchange->answer(http::makeAnswer(http::statusNotFound, http::problemContentType,
            http::problemBody(http::statusNotFound, "no such page: " + target)));
        return;
    }
    const auto found = methods->find(exchange->request().method);
    if (found == methods->end()) {
        exchange->answer(http::makeAnswer(http::statusMethodNotAllowed, http::problemContentType,
            http::problemBody(http::statusMethodNotAllowed, "the method is not allowed here")));
        return;
    }
    found->second(std::move(exchange));
}

} // namespace coriandergate::daemon
