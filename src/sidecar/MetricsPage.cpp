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
        makeCounter("coriandergate_hedges_total", "second attempts beside a first one that was still running",
            metrics.counters.hedges),
        makeCounter("coriandergate_hedges_won_total", "second attempts whose response the caller got",
            metrics.counters.hedgesWon),
        makeCounter("coriandergate_path_failures_total", "daemons beside targets that were not reached",
            metrics.counters.pathFailures),
        makeCounter("coriandergate_refused_for_homes_total", "requests without a target in their home regions",
            metrics.counters.refusedForHomes),
        makeCounter("coriandergate_refused_for_evacuations_total",
            "requests whose targets are all in evacuated data centres", metrics.counters.refusedForEvacuations),
        makeGauge("coriandergate_evacuated_data_centres", "data centres that are evacuated",
            static_cast<double>(metrics.evacuatedDataCentres)),
        makeGauge("coriandergate_evacuation_age_seconds", "age of the oldest evacuation in force; -1 for none",
            metrics.evacuationAge ? std::chrono::duration<double>(*metrics.evacuationAge).count() : -1),
        makeCounter("coriandergate_target_connections_total", "connections opened to the target of this host",
            metrics.targetConnectionsOpened),
        makeCounter("coriandergate_hop_connections_total", "connections opened to other daemons",
            metrics.peerConnectionsOpened),
        makeCounter("coriandergate_late_responses_total",
            "responses of the target of this host to requests that had ended", metrics.lateResponses),
        makeCounter("coriandergate_released_requests_total",
            "requests refused before they had arrived whole, for want of memory", metrics.released.requests),
        makeCounter("coriandergate_released_unread_total", "connections closed whose clients read no responses",
            metrics.released.unreadResponses),
        makeCounter("coriandergate_released_idle_total", "idle connections closed for newer ones",
            metrics.released.idleConnections),
        makeGauge("coriandergate_buffered_bytes", "of requests and unread responses",
            static_cast<double>(metrics.bufferedBytes)),
        makeGauge(
            "coriandergate_target_running", "requests at the target of this host", static_cast<double>(load.running)),
        makeGauge(
            "coriandergate_target_waiting", "requests that wait for its slots", static_cast<double>(load.waiting)),
        makeGauge("coriandergate_target_slots", "its slots", static_cast<double>(load.slots)),
        makeGauge("coriandergate_target_failing", "1 while it gets trial requests only",
            metrics.loadReport.nextProbeIn ? 1 : 0),
        makeGauge("coriandergate_target_cold", "1 while the target of this host is cold or must be taken for cold",
            metrics.isTargetCold ? 1 : 0),
        makeCounter("coriandergate_arrivals_held_back_total",
            "requests to the target of this host that waited or were refused because a cold target may get no more",
            metrics.heldBack),
        makeCounter("coriandergate_gave_way_total",
            "waiting requests that were refused because their account had the most and another account's went first",
            metrics.gaveWay),
        makeGauge("coriandergate_waiting_accounts", "client accounts whose requests wait for the target's slots",
            static_cast<double>(metrics.waitingAccounts)),
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
