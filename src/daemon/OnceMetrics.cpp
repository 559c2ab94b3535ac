#include "daemon/OnceMetrics.h"

#include "daemon/LedgerOnceGate.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

namespace coriandergate::daemon {

struct OnceMetrics::Families {
    explicit Families(prometheus::Registry& registry)
        : attempts(prometheus::BuildCounter()
                       .Name("coriandergate_once_attempts_total")
                       .Help("Attempts at once-only requests with a key, by what was decided")
                       .Register(registry))
        , keys(prometheus::BuildGauge()
                   .Name("coriandergate_once_keys")
                   .Help("Keys in the ledgers of the seats that this daemon holds or held")
                   .Register(registry)
                   .Add({}))
        , missing(prometheus::BuildGauge()
                      .Name("coriandergate_once_reports_missing")
                      .Help("Reports that the rebuilds of seats still wait for")
                      .Register(registry)
                      .Add({}))
    {
    }

    auto raise(const std::string& decision, std::uint64_t value) -> void
    {
        auto& counter = attempts.Add({ { "decision", decision } });
        counter.Increment(static_cast<double>(value) - counter.Value());
    }

    prometheus::Family<prometheus::Counter>& attempts;
    prometheus::Gauge& keys;
    prometheus::Gauge& missing;
};

OnceMetrics::OnceMetrics(prometheus::Registry& registry)
    : m_families(std::make_unique<Families>(registry))
{
}

OnceMetrics::~OnceMetrics() = default;

auto OnceMetrics::update(const LedgerOnceGate& gate) -> void
{
    const auto& counts = gate.counts();
    m_families->raise("permitted", counts.permitted);
    m_families->raise("replayed", counts.replayed);
    m_families->raise("in-progress", counts.inProgress);
    m_families->raise("unknown", counts.unknown);
    m_families->raise("refused", counts.refused);
    m_families->keys.Set(static_cast<double>(gate.keys()));
    m_families->missing.Set(static_cast<double>(gate.missingReports()));
}

} // namespace coriandergate::daemon
