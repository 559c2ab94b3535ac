// Finds the handler of a request to the admin listener by method and path.
//
// Plug-ins add their handlers at start:
//
//   kernel.find<AdminRouter>()->add("POST", "/announce", [](std::shared_ptr<http::Exchange> exchange) { ... });
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

namespace coriandergate::http {
class Exchange;
}

namespace coriandergate::daemon {

// AdminRouter is filled on the main thread before the listener starts, and read from any thread afterwards.
class AdminRouter {
public:
    using Handler = std::function<void(std::shared_ptr<http::Exchange>)>;

    // add() takes over requests with that method and path. A path that ends in '/' takes every path below it too.
    auto add(const std::string& method, const std::string& path, Handler handler) -> void;

    // handle() gives the exchange to its handler, or answers 404 or 405. The handler runs on the exchange's worker.
    auto handle(std::shared_ptr<http::Exchange> exchange) const -> void;

private:
    [[nodiscard]] auto findMethods(std::string path) const -> const std::map<std::string, Handler>*;

    std::map<std::string, std::map<std::string, Handler>> m_handlers; // by path, then by method
};

} // namespace coriandergate::daemon
