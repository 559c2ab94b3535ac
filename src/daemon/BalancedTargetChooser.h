// The proxy's choice of target by balance/TargetChooser, over the targets of this host.
#pragma once

#include "balance/TargetChooser.h"
#include "proxy/TargetChooser.h"

#include <atomic>
#include <set>
#include <unordered_map>

namespace coriandergate::member {
class TargetRegistry;
}
namespace coriandergate::proxy {
struct ProxyContext;
}

namespace coriandergate::daemon {

// BalancedTargetChooser is safe from any thread; choices under way are in shards, each under its own lock.
class BalancedTargetChooser : public proxy::TargetChooser {
public:
    // BalancedTargetChooser() chooses among the targets that `context` knows; `context` must outlive it.
    BalancedTargetChooser(const proxy::ProxyContext& context, const balance::TargetChooser::Options& options);

    auto choose(std::string_view service, std::span<const std::string> excluded, MonotonicTime now)
        -> std::optional<proxy::TargetChoice> override;
    auto finished(const proxy::TargetChoice& choice, const proxy::AttemptReport& report, MonotonicTime now)
        -> void override;

    // refresh() takes ejections and their ends into account, to be called a few times a second.
    auto refresh(MonotonicTime now) -> void;

private:
    struct UnderWay {
        balance::CandidatePointer candidate;
        MonotonicTime sentAt;
    };

    struct alignas(64) Shard {
        Mutex mutex;
        std::unordered_map<std::uint64_t, UnderWay> choices GUARDED_BY(mutex);
    };

    static constexpr std::size_t s_shardCount = 16;

    auto takeOverTargets(MonotonicTime now) -> void;
    [[nodiscard]] auto note(balance::CandidatePointer candidate, MonotonicTime now) -> std::uint64_t;
    [[nodiscard]] auto take(std::uint64_t ticket) -> UnderWay;

    const proxy::ProxyContext& m_context;
    balance::TargetChooser m_chooser;
    Mutex m_mutex;
    std::set<std::string> m_services GUARDED_BY(m_mutex);
    std::unordered_map<std::string, MonotonicTime> m_startedAt GUARDED_BY(m_mutex);
    std::atomic<std::uint64_t> m_version = ~std::uint64_t { 0 };
    std::array<Shard, s_shardCount> m_shards;
    std::atomic<std::uint64_t> m_nextTicket = 1;
};

} // namespace coriandergate::daemon
