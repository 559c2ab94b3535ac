#include "dispatch/AccountRateLimiter.h"

#include <algorithm>
#include <utility>

namespace coriandergate::dispatch {

namespace {

    auto isOwner(std::string_view account, const std::vector<RateLimitHost>& hosts, std::string_view self,
        std::chrono::milliseconds storeTime) -> bool
    {
        const auto owners = rateLimitOwners(account, hosts, storeTime);
        return std::find(owners.begin(), owners.end(), self) != owners.end();
    }

} // namespace

auto AccountRateLimiter::setHosts(const std::vector<RateLimitHost>& hosts, MonotonicTime now) -> void
{
    if (hosts == m_hosts)
        return;
    // A bucket that is created later holds no tokens from before the change, when another host may have been an owner.
    if (!m_hosts.empty() || m_hostsChangedAt)
        m_hostsChangedAt = now;
    if (!m_hosts.empty())
        m_formerHosts.push_back({ std::move(m_hosts), now });
    m_hosts = hosts;
}

// Returns whether another host may still act as an owner by a former list of hosts.
auto AccountRateLimiter::isHandoverPending(
    std::string_view account, std::string_view self, std::chrono::milliseconds storeTime) const -> bool
{
    return std::any_of(m_formerHosts.begin(), m_formerHosts.end(),
        [&](const FormerHosts& former) { return !isOwner(account, former.hosts, self, storeTime); });
}

auto AccountRateLimiter::initialBucket(const config::ClientAccount& account, std::string_view self,
    std::chrono::milliseconds storeTime, MonotonicTime now) const -> TokenBucket
{
    const auto startedAt = m_hostsChangedAt.value_or(m_startedAt);
    const auto storeTimeAtStart = storeTime - std::chrono::duration_cast<std::chrono::milliseconds>(now - startedAt);
    // This host became an owner later than `startedAt`, when the join delay of a host in the list ended.
    if (!isOwner(account.name, m_hosts, self, storeTimeAtStart))
        return TokenBucket(now);
    return TokenBucket(
        startedAt, m_hostsChangedAt ? 0 : m_options.limits.bucketLimits(account, m_options.fraction).initialTokens);
}

auto AccountRateLimiter::tryAcquire(const config::ClientAccount& account, std::string_view self,
    std::chrono::milliseconds storeTime, MonotonicTime now) -> Decision
{
    while (!m_formerHosts.empty() && m_formerHosts.front().replacedAt + m_options.handoverDelay <= now)
        m_formerHosts.pop_front();
    if (!isOwner(account.name, m_hosts, self, storeTime) || isHandoverPending(account.name, self, storeTime)) {
        m_buckets.insert_or_assign(account.name, TokenBucket(now));
        return {};
    }
    auto found = m_buckets.find(account.name);
    if (found == m_buckets.end())
        found = m_buckets.emplace(account.name, initialBucket(account, self, storeTime, now)).first;
    auto& bucket = found->second;
    const auto limits = m_options.limits.bucketLimits(account, m_options.fraction);
    bucket.refill(limits, now);
    if (bucket.tokens() < 1)
        return { false, bucket.retryAfter(limits) };
    bucket.consume();
    return { true, std::nullopt };
}

} // namespace coriandergate::dispatch
