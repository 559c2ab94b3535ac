// The proxy's RetryGate on admission::RetryPolicy and admission::RetryBudget.
#pragma once

#include "admission/RetryBudget.h"
#include "admission/RetryPolicy.h"
#include "proxy/RetryGate.h"

#include <atomic>
#include <cstdint>

namespace coriandergate::daemon {

// BudgetRetryGate is safe from any thread.
class BudgetRetryGate : public proxy::RetryGate {
public:
    struct Options {
        admission::RetryBudget::Options budget;
        admission::RetryOptions retry;
    };

    explicit BudgetRetryGate(Options options);

    auto began(const proxy::RequestContext& context, MonotonicTime now) -> void override;
    [[nodiscard]] auto mayRetry(const proxy::RequestContext& context, const proxy::Refusal& refusal, int attempts,
        MonotonicTime now) -> bool override;

    // requests() and retries() are the numbers of requests begun and of further attempts allowed; refusedRetries() is
    // the number of those that the budget had no room for.
    [[nodiscard]] auto requests() const -> std::uint64_t { return m_requests; }
    [[nodiscard]] auto retries() const -> std::uint64_t { return m_retries; }
    [[nodiscard]] auto refusedRetries() const -> std::uint64_t { return m_refusedRetries; }

private:
    Options m_options;
    admission::RetryBudget m_budget;
    std::atomic<std::uint64_t> m_requests = 0;
    std::atomic<std::uint64_t> m_retries = 0;
    std::atomic<std::uint64_t> m_refusedRetries = 0;
};

} // namespace coriandergate::daemon
