#include "sidecar/MetricsPage.h"

#include <limits>
#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>
#include <vector>

namespace coriandergate::sidecar {

using prometheus::ClientMetric;
using prometheus::MetricFamily;
using prometheus::MetricType;

namespace {

    auto family(const char* name, const char* help, MetricType type) -> MetricFamily
    {
        MetricFamily made;
        made.name = name;
        made.help = help;
        made.type = type;
        return made;
    }

    auto gauge(const char* name, const char* help, double value) -> MetricFamily
    {
        auto made = family(name, help, MetricType::Gauge);
        ClientMetric metric;
        metric.gauge.value = value;
        made.metric.push_back(metric);
        return made;
    }

    auto counter(const char* name, const char* help, std::uint64_t value) -> MetricFamily
    {
        auto made = family(name, help, MetricType::Counter);
        ClientMetric metric;
        metric.counter.value = static_cast<double>(value);
        made.metric.push_back(metric);
        return made;
    }

    auto endedRequests(const relay::EntryCounters& counters) -> MetricFamily
    {
        auto made = family(
            "coriandergate_requests_ended_total", "requests of callers by how they ended", MetricType::Counter);
        for (const auto& [how, count] : counters.endedByReason) {
            ClientMetric metric;
            ClientMetric::Label label;
            label.name = "how";
            label.value = how;
            metric.label.push_back(label);
            metric.counter.value = static_cast<double>(count);
            made.metric.push_back(metric);
        }
        return made;
    }

    auto latency(const relay::EntryCounters& counters) -> MetricFamily
    {
        auto made = family("coriandergate_answer_milliseconds", "from a request's last byte to its target's answer",
            MetricType::Histogram);
        ClientMetric metric;
        std::uint64_t cumulated = 0;
        for (std::size_t i = 0; i < counters.latencyBuckets.size(); ++i) {
            cumulated += counters.latencyBuckets[i];
            ClientMetric::Bucket bucket;
            bucket.cumulative_count = cumulated;
            bucket.upper_bound = i < relay::EntryCounters::s_latencyBoundsMs.size()
                ? static_cast<double>(relay::EntryCounters::s_latencyBoundsMs[i])
                : std::numeric_limits<double>::infinity();
            metric.histogram.bucket.push_back(bucket);
        }
        metric.histogram.sample_count = cumulated;
        metric.histogram.sample_sum = counters.latencySumMs;
        made.metric.push_back(metric);
        return made;
    }

} // namespace

auto makeMetricsPage(const MetricsFigures& figures) -> std::string
{
    const auto& load = figures.news.load;
    const double proofAge = figures.proofAge ? std::chrono::duration<double>(*figures.proofAge).count() : -1;
    const std::vector<MetricFamily> families {
        endedRequests(figures.counters),
        latency(figures.counters),
        counter("coriandergate_repeats_total", "runs beyond the first of a request", figures.counters.retries),
        counter("coriandergate_path_failures_total", "daemons beside targets that were not reached",
            figures.counters.pathFailures),
        counter("coriandergate_target_connections_total", "connections opened to the target of this host",
            figures.targetConnections),
        counter("coriandergate_hop_connections_total", "connections opened to other daemons", figures.hopConnections),
        gauge("coriandergate_target_running", "requests at the target of this host", static_cast<double>(load.running)),
        gauge("coriandergate_target_waiting", "requests that wait for its slots", static_cast<double>(load.waiting)),
        gauge("coriandergate_target_slots", "its slots", static_cast<double>(load.slots)),
        gauge("coriandergate_target_failing", "1 while it gets trial requests only", figures.news.nextTrialIn ? 1 : 0),
        gauge("coriandergate_configuration_version", "version in force", static_cast<double>(figures.version)),
        gauge("coriandergate_store_proof_age_seconds", "age of the newest news from the store; -1 for none", proofAge),
        gauge("coriandergate_hosts", "hosts that share every limit", static_cast<double>(figures.hosts)),
        gauge("coriandergate_caller_connections", "open connections of callers",
            static_cast<double>(figures.callerConnections)),
        gauge(
            "coriandergate_open_requests", "requests of callers under way", static_cast<double>(figures.openRequests)),
    };
    return prometheus::TextSerializer().Serialize(families);
}

} // namespace coriandergate::sidecar
