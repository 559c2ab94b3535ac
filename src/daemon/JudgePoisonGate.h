// The proxy's gate against poison requests, by poison/PoisonStatusTable and poison/PoisonDetector.
#pragma once

#include "base/Mutex.h"
#include "poison/PoisonDetector.h"
#include "poison/PoisonStatusTable.h"
#include "proxy/PoisonGate.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace coriandergate::http {
class WorkerPool;
}

namespace coriandergate::daemon {

// JudgePoisonGate is safe from any thread. A request that is neither suspect nor poison costs one look-up.
class JudgePoisonGate : public proxy::PoisonGate, public std::enable_shared_from_this<JudgePoisonGate> {
public:
    // Counts is what the gate has done since it was made.
    struct Counts {
        std::atomic<std::uint64_t> suspected = 0;
        std::atomic<std::uint64_t> poisoned = 0;
        std::atomic<std::uint64_t> refused = 0;
    };

    JudgePoisonGate(std::shared_ptr<http::WorkerPool> workers, const poison::PoisonDetector::Options& options);

    auto begin(const proxy::RequestContext& context, MonotonicTime now,
        std::function<void(std::optional<proxy::Refusal>)> decided) -> void override;
    auto crashed(const proxy::RequestContext& context, const std::string& target, MonotonicTime now,
        std::function<void()> known) -> void override;
    auto finished(const proxy::RequestContext& context, proxy::Outcome outcome, MonotonicTime now) -> void override;

    // counts() may be read from any thread.
    [[nodiscard]] auto counts() const -> const Counts& { return m_counts; }

private:
    struct Waiting;

    auto ask(const std::shared_ptr<Waiting>& waiting, MonotonicTime now) -> void;
    auto grant(const Waiting& waiting) -> void;
    [[nodiscard]] auto judgeOf(const std::string& service) -> poison::PoisonDetector&;
    [[nodiscard]] auto refusePoison(const std::string& service) -> proxy::Refusal;

    const std::shared_ptr<http::WorkerPool> m_workers;
    const poison::PoisonDetector::Options m_options;
    poison::PoisonStatusTable m_table;
    Counts m_counts;
    std::atomic<std::size_t> m_permitCount = 0;
    Mutex m_mutex;
    std::map<std::string, std::unique_ptr<poison::PoisonDetector>> m_judges GUARDED_BY(m_mutex);
    std::set<std::string> m_permits GUARDED_BY(m_mutex); // ids of suspect requests that run
};

} // namespace coriandergate::daemon
