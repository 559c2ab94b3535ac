#include "dispatch/RatePool.h"

#include "base/Hash.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace coriandergate::dispatch {

auto rateHomes(std::string_view account, const std::vector<std::string>& hosts) -> std::vector<std::string>
{
    const auto seed = hashOf(account);
    std::vector<std::pair<std::uint64_t, std::string>> byWeight;
    for (const auto& host : hosts)
        byWeight.emplace_back(hashOf(host, seed), host);
    const auto count = std::min(rateHomesOfRegion, byWeight.size());
    std::partial_sort(
        byWeight.begin(), byWeight.begin() + static_cast<std::ptrdiff_t>(count), byWeight.end(), std::greater<> {});
    std::vector<std::string> homes;
    for (std::size_t i = 0; i < count; ++i)
        homes.push_back(byWeight[i].second);
    return homes;
}

namespace {

    auto isHome(std::string_view account, const std::vector<std::string>& hosts, std::string_view self) -> bool
    {
        const auto homes = rateHomes(account, hosts);
        return std::find(homes.begin(), homes.end(), self) != homes.end();
    }

} // namespace

auto RatePool::setHosts(const std::vector<std::string>& hosts, MonotonicTime now) -> void
{
    if (hosts == m_hosts)
        return;
    if (!m_hosts.empty())
        m_formerViews.push_back({ std::move(m_hosts), now });
    m_hosts = hosts;
}

auto RatePool::take(const config::ClientAccount& account, std::string_view self, MonotonicTime now) -> Decision
{
    while (!m_formerViews.empty() && m_formerViews.front().until + m_options.handOver <= now)
        m_formerViews.pop_front();
    if (!isHome(account.name, m_hosts, self))
        return { false, m_options.handOver };
    for (const auto& view : m_formerViews) {
        if (!isHome(account.name, view.hosts, self)) {
            m_buckets.insert_or_assign(account.name, RateBucket(now));
            return { false, m_options.handOver };
        }
    }
    auto found = m_buckets.find(account.name);
    if (found == m_buckets.end())
        found = m_buckets.emplace(account.name, RateBucket(m_startedAt)).first;
    auto& bucket = found->second;
    const auto part = m_options.limits.partOf(account, m_options.part);
    bucket.refill(part, now);
    if (bucket.tokens() < 1)
        return { false, bucket.turnIn(part) };
    bucket.take();
    return { true, {} };
}

} // namespace coriandergate::dispatch
