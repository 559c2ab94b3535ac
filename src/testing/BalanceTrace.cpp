#include "testing/BalanceTrace.h"

#include "balance/TargetChooser.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace coriandergate::testing {

using namespace balance;
using namespace std::chrono_literals;

namespace {
    constexpr auto slots = 6;
    constexpr auto medianSeconds = 0.02;
    constexpr auto sigma = 0.8;
    constexpr auto warmUp = 2s;

    struct Request {
        std::size_t entry = 0;
        std::size_t target = 0;
        CandidatePointer candidate;
        MonotonicTime sentAt;
    };

    struct Event {
        MonotonicTime at;
        std::optional<Request> finished; // otherwise an arrival
        auto operator<(const Event& other) const -> bool { return at > other.at; }
    };

    class Trace {
    public:
        explicit Trace(const BalanceTraceOptions& options)
            : m_options(options)
            , m_random(options.seed)
            , m_queues(static_cast<std::size_t>(options.targets))
            , m_busy(m_queues.size())
            , m_counts(m_queues.size())
        {
            std::vector<TargetDescription> targets;
            for (auto i = 0; i < options.targets; ++i)
                targets.push_back({ std::to_string(i), {}, { "r", i % 2 == 0 ? "a" : "b" }, slots, m_now - 1h, false });
            for (auto i = 0; i < options.entries; ++i) {
                m_entries.push_back(std::make_unique<TargetChooser>(
                    TargetChooser::Options { { "r", i % 2 == 0 ? "a" : "b" }, options.policy }));
                m_entries.back()->setTargets("ledger", targets, 0.7, m_now);
            }
        }

        auto run() -> BalanceTraceResult
        {
            const auto meanSeconds = medianSeconds * std::exp(sigma * sigma / 2);
            const auto rate = m_options.utilisation * m_options.targets * slots / meanSeconds;
            std::exponential_distribution<> gap(rate);
            auto nextRefresh = m_now;
            m_events.push({ m_now, {} });
            while (m_events.top().at < MonotonicTime() + 1h + m_options.length) {
                const auto event = m_events.top();
                m_events.pop();
                m_now = event.at;
                if (event.finished) {
                    finish(*event.finished);
                    continue;
                }
                if (m_now >= nextRefresh) {
                    for (const auto& entry : m_entries)
                        entry->refresh(m_now);
                    nextRefresh = m_now + 250ms;
                }
                arrive();
                m_events.push({ m_now + seconds(gap(m_random)), {} });
            }
            return summary();
        }

    private:
        static auto seconds(double value) -> MonotonicDuration
        {
            return std::chrono::duration_cast<MonotonicDuration>(std::chrono::duration<double>(value));
        }

        auto arrive() -> void
        {
            const auto entry = m_random() % m_entries.size();
            auto candidate = m_entries[entry]->choose("ledger", {}, m_random(), m_now);
            candidate->start();
            const auto target = std::stoul(candidate->description().address);
            m_queues[target].push_back({ entry, target, std::move(candidate), m_now });
            startNext(target);
        }

        auto startNext(std::size_t target) -> void
        {
            if (m_queues[target].empty() || m_busy[target] == slots)
                return;
            ++m_busy[target];
            const auto isGray = target < static_cast<std::size_t>(m_options.grayTargets);
            const auto time = std::lognormal_distribution<>(std::log(medianSeconds), sigma)(m_random);
            m_events.push({ m_now + seconds(isGray ? time * m_options.slowdown : time), m_queues[target].front() });
            m_queues[target].pop_front();
        }

        auto finish(const Request& request) -> void
        {
            --m_busy[request.target];
            const auto latency = std::chrono::duration_cast<std::chrono::microseconds>(m_now - request.sentAt);
            request.candidate->finish(latency, m_now);
            request.candidate->applyLoadReport(
                { m_busy[request.target], static_cast<int>(m_queues[request.target].size()) }, request.sentAt, m_now);
            if (m_now >= MonotonicTime() + 1h + warmUp) {
                m_latencies.push_back(latency);
                ++m_counts[request.target];
            }
            startNext(request.target);
        }

        auto summary() -> BalanceTraceResult
        {
            std::ranges::sort(m_latencies);
            const auto total = static_cast<double>(m_latencies.size());
            BalanceTraceResult result;
            result.p50 = m_latencies[m_latencies.size() / 2];
            result.p99 = m_latencies[m_latencies.size() * 99 / 100];
            result.grayShare = m_counts[0] / total;
            result.mostLoaded = *std::ranges::max_element(m_counts) / total * m_options.targets;
            return result;
        }

        const BalanceTraceOptions m_options;
        std::mt19937_64 m_random;
        MonotonicTime m_now = MonotonicTime() + 1h;
        std::vector<std::unique_ptr<TargetChooser>> m_entries;
        std::vector<std::deque<Request>> m_queues;
        std::vector<int> m_busy;
        std::vector<double> m_counts;
        std::priority_queue<Event> m_events;
        std::vector<std::chrono::microseconds> m_latencies;
    };
}

auto runBalanceTrace(const BalanceTraceOptions& options) -> BalanceTraceResult { return Trace(options).run(); }

} // namespace coriandergate::testing
