#include "admission/RetryBudget.h"

#include "base/Hash.h"

#include <algorithm>
#include <utility>

namespace coriandergate::admission {

namespace {

    // One account's trouble with one service must not use up its budget for another.
    auto accountKey(std::string_view service, std::string_view clientAccount) -> std::string
    {
        std::string key(clientAccount);
        key += '\n';
        key += service;
        return key;
    }

} // namespace

struct RetryBudget::Shard {
    auto add(std::string_view key, double part, double capacity, double initial) -> void
    {
        const MutexLock lock(mutex);
        auto found = tokens.find(key);
        if (found == tokens.end())
            found = tokens.emplace(std::string(key), initial).first;
        found->second = std::min(found->second + part, capacity);
    }

    auto take(std::string_view key) -> bool
    {
        const MutexLock lock(mutex);
        const auto found = tokens.find(key);
        if (found == tokens.end() || found->second < 1)
            return false;
        found->second -= 1;
        return true;
    }

    // A full bucket is the same as a new one, so that forgetting it changes nothing.
    auto forgetFull(double capacity, std::size_t limit) -> void
    {
        const MutexLock lock(mutex);
        if (tokens.size() > limit)
            std::erase_if(tokens, [capacity](const auto& entry) { return entry.second >= capacity; });
        while (tokens.size() > limit)
            tokens.erase(tokens.begin());
    }

    Mutex mutex;
    std::map<std::string, double, std::less<>> tokens GUARDED_BY(mutex);
};

RetryBudget::RetryBudget(Options options)
    : m_options(options)
{
    for (std::size_t index = 0; index < s_shardCount; ++index) {
        m_services[index] = std::make_unique<Shard>();
        m_accounts[index] = std::make_unique<Shard>();
    }
}

RetryBudget::~RetryBudget() = default;

auto RetryBudget::recordRequest(std::string_view service, std::string_view clientAccount) -> void
{
    serviceShard(service).add(service, m_options.serviceTokensPerRequest, m_options.maximumServiceTokens, 0);
    const auto key = accountKey(service, clientAccount);
    auto& shard = accountShard(key);
    shard.add(key, m_options.accountTokensPerRequest, m_options.maximumAccountTokens, m_options.maximumAccountTokens);
    shard.forgetFull(m_options.maximumAccountTokens, m_options.maximumAccountBuckets / s_shardCount);
}

auto RetryBudget::tryConsumeToken(std::string_view service, std::string_view clientAccount) -> bool
{
    const auto key = accountKey(service, clientAccount);
    if (!accountShard(key).take(key))
        return false;
    if (serviceShard(service).take(service))
        return true;
    accountShard(key).add(key, 1, m_options.maximumAccountTokens, 0);
    return false;
}

auto RetryBudget::serviceShard(std::string_view service) const -> Shard&
{
    return *m_services[hashOf(service) % s_shardCount];
}

auto RetryBudget::accountShard(std::string_view account) const -> Shard&
{
    return *m_accounts[hashOf(account) % s_shardCount];
}

} // namespace coriandergate::admission
