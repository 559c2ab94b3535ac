#include "admission/RetryBudget.h"

#include "base/Hash.h"

#include <algorithm>
#include <utility>

namespace coriandergate::admission {

namespace {

    // Failures of one service must not use up an account's budget for other services.
    auto accountBucketKey(std::string_view service, std::string_view clientAccount) -> std::string
    {
        std::string key(clientAccount);
        key += '\n';
        key += service;
        return key;
    }

} // namespace

struct RetryBudget::Shard {
    auto add(std::string_view key, double amount, double capacity, double initialTokens) -> void
    {
        const MutexLock lock(mutex);
        auto found = tokens.find(key);
        if (found == tokens.end())
            found = tokens.emplace(std::string(key), initialTokens).first;
        found->second = std::min(found->second + amount, capacity);
    }

    auto tryConsume(std::string_view key) -> bool
    {
        const MutexLock lock(mutex);
        const auto found = tokens.find(key);
        if (found == tokens.end() || found->second < 1)
            return false;
        found->second -= 1;
        return true;
    }

    // Removes full buckets first: a new bucket starts full, so their removal changes nothing.
    auto removeExcessBuckets(double capacity, std::size_t maximumBuckets) -> void
    {
        const MutexLock lock(mutex);
        if (tokens.size() > maximumBuckets)
            std::erase_if(tokens, [capacity](const auto& entry) { return entry.second >= capacity; });
        while (tokens.size() > maximumBuckets)
            tokens.erase(tokens.begin());
    }

    Mutex mutex;
    std::map<std::string, double, std::less<>> tokens GUARDED_BY(mutex);
};

RetryBudget::RetryBudget(Options options)
    : m_options(options)
{
    for (std::size_t index = 0; index < s_shardCount; ++index) {
        m_serviceShards[index] = std::make_unique<Shard>();
        m_accountShards[index] = std::make_unique<Shard>();
    }
}

RetryBudget::~RetryBudget() = default;

auto RetryBudget::recordRequest(std::string_view service, std::string_view clientAccount) -> void
{
    serviceShard(service).add(service, m_options.serviceTokensPerRequest, m_options.maximumServiceTokens, 0);
    const auto key = accountBucketKey(service, clientAccount);
    auto& shard = accountShard(key);
    shard.add(key, m_options.accountTokensPerRequest, m_options.maximumAccountTokens, m_options.maximumAccountTokens);
    shard.removeExcessBuckets(m_options.maximumAccountTokens, m_options.maximumAccountBuckets / s_shardCount);
}

auto RetryBudget::tryConsumeToken(std::string_view service, std::string_view clientAccount) -> bool
{
    const auto key = accountBucketKey(service, clientAccount);
    if (!accountShard(key).tryConsume(key))
        return false;
    if (serviceShard(service).tryConsume(service))
        return true;
    accountShard(key).add(key, 1, m_options.maximumAccountTokens, 0);
    return false;
}

auto RetryBudget::serviceShard(std::string_view service) const -> Shard&
{
    return *m_serviceShards[hashOf(service) % s_shardCount];
}

auto RetryBudget::accountShard(std::string_view key) const -> Shard&
{
    return *m_accountShards[hashOf(key) % s_shardCount];
}

} // namespace coriandergate::admission
