#include "dispatch/AccountRateLimiter.h"

#include <algorithm>
#include <utility>

namespace coriandergate::dispatch {

namespace {

    auto isHome(std::string_view account, const std::vector<RateLimitHost>& hosts, std::string_view self,
        std::chrono::milliseconds storeTime) -> bool
    {
        const auto homes = rateLimitOwners(account, hosts, storeTime);
        return std::find(homes.begin(), homes.end(), self) != homes.end();
    }

} // namespace

auto AccountRateLimiter::setHosts(const std::vector<RateLimitHost>& hosts, MonotonicTime now) -> void
{
    if (hosts == m_hosts)
        return;
    // A home that is asked for an account first later on must not have gathered a burst beside a former home.
    if (!m_hosts.empty() || m_changedAt)
        m_changedAt = now;
    if (!m_hosts.empty())
        m_formerViews.push_back({ std::move(m_hosts), now });
    m_hosts = hosts;
}

// By the views that may still be in force elsewhere, another host is the home.
auto AccountRateLimiter::isNewHome(
    std::string_view account, std::string_view self, std::chrono::milliseconds storeTime) const -> bool
{
    return std::any_of(m_formerViews.begin(), m_formerViews.end(),
        [&](const View& view) { return !isHome(account, view.hosts, self, storeTime); });
}

auto AccountRateLimiter::firstBucket(const config::ClientAccount& account, std::string_view self,
    std::chrono::milliseconds storeTime, MonotonicTime now) const -> TokenBucket
{
    const auto since = m_changedAt.value_or(m_startedAt);
    const auto storeTimeThen = storeTime - std::chrono::duration_cast<std::chrono::milliseconds>(now - since);
    // It has become a home meanwhile, since hosts of the list aren't new any more.
    if (!isHome(account.name, m_hosts, self, storeTimeThen))
        return TokenBucket(now);
    return TokenBucket(since, m_changedAt ? 0 : m_options.limits.partOf(account, m_options.fraction).atStart);
}

auto AccountRateLimiter::tryAcquire(const config::ClientAccount& account, std::string_view self,
    std::chrono::milliseconds storeTime, MonotonicTime now) -> Decision
{
    while (!m_formerViews.empty() && m_formerViews.front().until + m_options.handOver <= now)
        m_formerViews.pop_front();
    if (!isHome(account.name, m_hosts, self, storeTime) || isNewHome(account.name, self, storeTime)) {
        m_buckets.insert_or_assign(account.name, TokenBucket(now));
        return {};
    }
    auto found = m_buckets.find(account.name);
    if (found == m_buckets.end())
        found = m_buckets.emplace(account.name, firstBucket(account, self, storeTime, now)).first;
    auto& bucket = found->second;
    const auto part = m_options.limits.partOf(account, m_options.fraction);
    bucket.refill(part, now);
    if (bucket.tokens() < 1)
        return { false, bucket.retryAfter(part) };
    bucket.take();
    return { true, std::nullopt };
}

} // namespace coriandergate::dispatch
