// Limits retries and hedges to a fraction of the requests, so that they don't multiply the load during an outage.
//
// There is a token bucket per service and one per client account and service. Each request adds a fraction of a token
// to both of its buckets; each retry or hedge consumes one token from both. Service buckets start empty, so the
// attempts on a service never exceed (1 + serviceTokensPerRequest) times its requests.
//
//   RetryBudget budget({});
//   budget.recordRequest("orders", "account-7");
//   if (budget.tryConsumeToken("orders", "account-7")) ...    // a retry or hedge is allowed
//
// Only the entry daemon retries, never the daemon on the target's host: retries on two layers would multiply. Safe from
// any thread: buckets are spread over shards, each under its own lock.
#pragma once

#include "base/Mutex.h"

#include <array>
#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace coriandergate::admission {

// RetryBudget holds the token buckets of all services and client accounts.
class RetryBudget {
public:
    struct Options {
        double serviceTokensPerRequest = 0.1; // tokens that a request adds to its service's bucket
        double maximumServiceTokens = 10; // capacity of a service's bucket
        double accountTokensPerRequest = 0.3; // tokens that a request adds to its account's bucket
        double maximumAccountTokens = 3; // capacity of an account's bucket, which starts full
        std::size_t maximumAccountBuckets = 40'000; // beyond it buckets are removed, full ones first
    };

    explicit RetryBudget(Options options);
    ~RetryBudget();
    RetryBudget(const RetryBudget&) = delete;
    auto operator=(const RetryBudget&) -> RetryBudget& = delete;

    // recordRequest() adds the tokens for a new request. Call it once per request, at its first attempt.
    auto recordRequest(std::string_view service, std::string_view clientAccount) -> void;

    // tryConsumeToken() consumes a token from both buckets. It returns false and consumes none when either bucket holds
    // less than one token.
    [[nodiscard]] auto tryConsumeToken(std::string_view service, std::string_view clientAccount) -> bool;

private:
    static constexpr std::size_t s_shardCount = 16;
    struct Shard;

    [[nodiscard]] auto serviceShard(std::string_view service) const -> Shard&;
    [[nodiscard]] auto accountShard(std::string_view key) const -> Shard&;

    Options m_options;
    std::array<std::unique_ptr<Shard>, s_shardCount> m_serviceShards;
    std::array<std::unique_ptr<Shard>, s_shardCount> m_accountShards;
};

} // namespace coriandergate::admission
