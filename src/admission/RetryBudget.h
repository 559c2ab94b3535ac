// Bounds how many attempts are made beyond the first, so that an outage is not multiplied by retries.
//
// Each request puts a part of a token into its service's bucket and its account's; each further attempt, retry or
// hedge, takes a whole one from both. Over any run, attempts are therefore at most (1 + serviceTokensPerRequest) times
// the requests.
//
//   RetryBudget budget({});
//   budget.recordRequest("orders", "account-7");
//   if (budget.tryConsumeToken("orders", "account-7")) ...    // one attempt more is allowed
//
// Only the entry daemon sends again, never the daemon beside the target: two layers would multiply. Thread safe:
// buckets are spread over shards, each under its own lock.
#pragma once

#include "base/Mutex.h"

#include <array>
#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace coriandergate::admission {

// RetryBudget holds one bucket a service and one a client account and service.
class RetryBudget {
public:
    struct Options {
        double serviceTokensPerRequest = 0.1; // tokens a request adds to its service's bucket
        double maximumServiceTokens = 10; // tokens
        double accountTokensPerRequest = 0.3; // tokens a request adds to its account's bucket
        double maximumAccountTokens = 3; // tokens; a new account starts with them
        std::size_t maximumAccountBuckets = 40'000; // buckets of accounts remembered
    };

    explicit RetryBudget(Options options);
    ~RetryBudget();
    RetryBudget(const RetryBudget&) = delete;
    auto operator=(const RetryBudget&) -> RetryBudget& = delete;

    // recordRequest() counts a new request (its first attempt).
    auto recordRequest(std::string_view service, std::string_view clientAccount) -> void;

    // tryConsumeToken() takes a token from both buckets; false, and nothing is taken, when either has less than one.
    [[nodiscard]] auto tryConsumeToken(std::string_view service, std::string_view clientAccount) -> bool;

private:
    static constexpr std::size_t s_shardCount = 16;
    struct Shard;

    [[nodiscard]] auto serviceShard(std::string_view service) const -> Shard&;
    [[nodiscard]] auto accountShard(std::string_view account) const -> Shard&;

    Options m_options;
    std::array<std::unique_ptr<Shard>, s_shardCount> m_services;
    std::array<std::unique_ptr<Shard>, s_shardCount> m_accounts;
};

} // namespace coriandergate::admission
