#include "daemon/ReleaseMetrics.h"

#include <prometheus/counter.h>
#include <prometheus/registry.h>

namespace coriandergate::daemon {

struct ReleaseMetrics::Families {
    explicit Families(prometheus::Registry& registry)
        : released(prometheus::BuildCounter()
                       .Name("coriandergate_connections_released_total")
                       .Help("Requests refused and connections closed because callers held too much, by port and kind")
                       .Register(registry))
    {
    }

    auto raise(const std::string& port, const char* kind, std::uint64_t value) -> void
    {
        auto& counter = released.Add({ { "port", port }, { "kind", kind } });
        counter.Increment(static_cast<double>(value) - counter.Value());
    }

    prometheus::Family<prometheus::Counter>& released;
};

ReleaseMetrics::ReleaseMetrics(prometheus::Registry& registry)
    : m_families(std::make_unique<Families>(registry))
{
}

ReleaseMetrics::~ReleaseMetrics() = default;

auto ReleaseMetrics::update(const std::string& port, const http::Server::ReleaseCounters& released) -> void
{
    m_families->raise(port, "refused", released.requests);
    m_families->raise(port, "unread", released.unreadResponses);
    m_families->raise(port, "idle", released.idleConnections);
}

} // namespace coriandergate::daemon
