// Metrics of connections that gave way because callers held too much.
//
//   ReleaseMetrics metrics(registry);
//   metrics.update("callers", server.released());
#pragma once

#include "http/Server.h"

#include <memory>
#include <string>

namespace prometheus {
class Registry;
}

namespace coriandergate::daemon {

// ReleaseMetrics is used on one thread; `registry` must live longer.
class ReleaseMetrics {
public:
    explicit ReleaseMetrics(prometheus::Registry& registry);
    ~ReleaseMetrics();
    ReleaseMetrics(const ReleaseMetrics&) = delete;
    auto operator=(const ReleaseMetrics&) -> ReleaseMetrics& = delete;

    // update() takes the totals of one port.
    auto update(const std::string& port, const http::Server::ReleaseCounters& released) -> void;

private:
    struct Families;
    std::unique_ptr<Families> m_families;
};

} // namespace coriandergate::daemon
