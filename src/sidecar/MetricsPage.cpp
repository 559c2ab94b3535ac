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

    auto makeFamily(const char* name, const char* help, MetricType type) -> MetricFamily
    {
        MetricFamily result;
        result.name = name;
        result.help = help;
        result.type = type;
        return result;
    }

    auto makeGauge(const char* name, const char* help, double value) -> MetricFamily
    {
        auto result = makeFamily(name, help, MetricType::Gauge);
        ClientMetric metric;
        metric.gauge.value = value;
        result.metric.push_back(metric);
        return result;
    }

    auto makeCounter(const char* name, const char* help, std::uint64_t value) -> MetricFamily
    {
        auto result = makeFamily(name, help, MetricType::Counter);
        ClientMetric metric;
        metric.counter.value = static_cast<double>(value);
        result.metric.push_back(metric);
        return result;
    }

    auto makeEndedRequests(const relay::EntryCounters& counters) -> MetricFamily
    {
        auto result = makeFamily(
            "coriandergate_requests_ended_total", "requests of callers by how they ended", MetricType::Counter);
        for (const auto& [outcome, count] : counters.endedByReason) {
            ClientMetric metric;
            ClientMetric::Label label;
            label.name = "how";
            label.value = outcome;
            metric.label.push_back(label);
            metric.counter.value = static_cast<double>(count);
            result.metric.push_back(metric);
        }
        return result;
    }

    auto makeLatency(const relay::EntryCounters& counters) -> MetricFamily
    {
        auto result = makeFamily("coriandergate_answer_milliseconds",
            "from a request's last byte to its target's answer", MetricType::Histogram);
        ClientMetric metric;
        std::uint64_t cumulativeCount = 0;
        for (std::size_t i = 0; i < counters.latencyBuckets.size(); ++i) {
            cumulativeCount += counters.latencyBuckets[i];
            ClientMetric::Bucket bucket;
            bucket.cumulative_count = cumulativeCount;
            bucket.upper_bound = i < relay::EntryCounters::s_latencyBoundsMs.size()
                ? static_cast<double>(relay::EntryCounters::s_latencyBoundsMs[i])
                : std::numeric_limits<double>::infinity();
            metric.histogram.bucket.push_back(bucket);
        }
        metric.histogram.sample_count = cumulativeCount;
        metric.histogram.sample_sum = counters.latencySumMs;
        result.metric.push_back(metric);
        return result;
    }

} // namespace

auto renderMetricsPage(const SidecarMetrics& metrics) -> std::string
{
    const auto& load = metrics.loadReport.load;
    const double configurationAgeSeconds
        = metrics.configurationAge ? std::chrono::duration<double>(*metrics.configurationAge).count() : -1;
    const std::vector<MetricFamily> families {
        makeEndedRequests(metrics.counters),
        makeLatency(metrics.counters),
        makeCounter("coriandergate_repeats_total", "runs beyond the first of a request", metrics.counters.retries),
        makeCounter("coriandergate_path_failures_total", "daemons beside targets that were not reached",
            metrics.counters.pathFailures),
        makeCounter("coriandergate_target_connections_total", "connections opened to the target of this host",
            metrics.targetConnectionsOpened),
        makeCounter("coriandergate_hop_connections_total", "connections opened to other daemons",
            metrics.peerConnectionsOpened),
        makeCounter("coriandergate_late_responses_total",
            "responses of the target of this host to requests that had ended", metrics.lateResponses),
        makeGauge(
            "coriandergate_target_running", "requests at the target of this host", static_cast<double>(load.running)),
        makeGauge(
            "coriandergate_target_waiting", "requests that wait for its slots", static_cast<double>(load.waiting)),
        makeGauge("coriandergate_target_slots", "its slots", static_cast<double>(load.slots)),
        makeGauge("coriandergate_target_failing", "1 while it gets trial requests only",
            metrics.loadReport.nextProbeIn ? 1 : 0),
        makeGauge("coriandergate_configuration_version", "version in force",
            static_cast<double>(metrics.configurationVersion)),
        makeGauge("coriandergate_store_proof_age_seconds", "age of the newest news from the store; -1 for none",
            configurationAgeSeconds),
        makeGauge("coriandergate_store_era", "how often the store came back from an older copy, as it tells",
            static_cast<double>(metrics.storeEra)),
        makeCounter("coriandergate_store_rows_written_again_total",
            "rows that the store had lost when it came back from an older copy", metrics.rowsWrittenAgain),
        makeGauge("coriandergate_hosts", "hosts that share every limit", static_cast<double>(metrics.hostCount)),
        makeGauge("coriandergate_caller_connections", "open connections of callers",
            static_cast<double>(metrics.callerConnections)),
        makeGauge(
            "coriandergate_open_requests", "requests of callers under way", static_cast<double>(metrics.openRequests)),
    };
    return prometheus::TextSerializer().Serialize(families);
}

} // namespace coriandergate::sidecar
