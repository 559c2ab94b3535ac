#include "daemon/AdmissionMetrics.h"

#include "daemon/BudgetRetryGate.h"
#include "daemon/FairSlotGate.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

namespace coriandergate::daemon {

namespace {

    using prometheus::Counter;
    using prometheus::Gauge;

    auto raise(Counter& counter, std::uint64_t value) -> void
    {
        counter.Increment(static_cast<double>(value) - counter.Value());
    }

    auto addCounter(prometheus::Registry& registry, const std::string& name, const std::string& help) -> Counter&
    {
        return prometheus::BuildCounter().Name(name).Help(help).Register(registry).Add({});
    }

    auto addGauge(prometheus::Registry& registry, const std::string& name, const std::string& help) -> Gauge&
    {
        return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
    }

} // namespace

struct AdmissionMetrics::Families {
    explicit Families(prometheus::Registry& registry)
        : slots(addGauge(registry, "coriandergate_slots", "Slots of the targets on this host"))
        , running(addGauge(registry, "coriandergate_slots_busy", "Slots that hold a request"))
        , waiting(addGauge(registry, "coriandergate_slots_waiting", "Requests that wait for a slot"))
        , granted(addCounter(registry, "coriandergate_slots_granted_total", "Requests that were given a slot"))
        , waited(addCounter(registry, "coriandergate_slots_waited_total", "Requests given a slot after a wait"))
        , refused(prometheus::BuildCounter()
                      .Name("coriandergate_slots_refused_total")
                      .Help("Requests refused a slot, all of them not run")
                      .Register(registry))
        , requests(addCounter(registry, "coriandergate_retry_requests_total", "Requests with a first attempt"))
        , retries(addCounter(registry, "coriandergate_retries_total", "Further attempts made"))
        , noBudget(addCounter(registry, "coriandergate_retries_without_budget_total", "Further attempts not made"))
    {
    }

    Gauge& slots;
    Gauge& running;
    Gauge& waiting;
    Counter& granted;
    Counter& waited;
    prometheus::Family<Counter>& refused;
    Counter& requests;
    Counter& retries;
    Counter& noBudget;
};

AdmissionMetrics::AdmissionMetrics(prometheus::Registry& registry)
    : m_families(std::make_unique<Families>(registry))
{
}

AdmissionMetrics::~AdmissionMetrics() = default;

auto AdmissionMetrics::update(const FairSlotGate& slots, const BudgetRetryGate& retries) -> void
{
    const auto load = slots.totalLoad();
    m_families->slots.Set(static_cast<double>(load.slots));
    m_families->running.Set(static_cast<double>(load.running));
    m_families->waiting.Set(static_cast<double>(load.waiting));
    const auto counts = slots.counts();
    raise(m_families->granted, counts.granted);
    raise(m_families->waited, counts.waited);
    for (const auto& [reason, count] : counts.refused)
        raise(m_families->refused.Add({ { "reason", std::string(admission::toText(reason)) } }), count);
    raise(m_families->requests, retries.requests());
    raise(m_families->retries, retries.retries());
    raise(m_families->noBudget, retries.refusedRetries());
}

} // namespace coriandergate::daemon
