#include "dispatch/RateShares.h"

#include "config/ClientAccount.h"

#include <algorithm>
#include <cmath>

namespace coriandergate::dispatch {

using std::chrono::milliseconds;

namespace {

    auto millisecondsFor(double tokens, double perSecond) -> milliseconds
    {
        constexpr double longest = 60000; // an account without a rate gets its turn in a minute, that is not now
        if (perSecond <= 0)
            return milliseconds(static_cast<milliseconds::rep>(longest));
        return milliseconds(static_cast<milliseconds::rep>(std::min(longest, std::ceil(tokens / perSecond * 1000))));
    }

} // namespace

auto RateShares::refill(Bucket& bucket, const config::ClientAccount& account, std::size_t hosts, MonotonicTime now) const
    -> void
{
    const auto parts = static_cast<double>(std::max<std::size_t>(1, hosts));
    const std::chrono::duration<double> window = m_options.window;
    const double inWindow = account.ratePerSecond * window.count();
    const double beyond = (inWindow + account.burst) * (1 + m_options.overage) + m_options.slack - inWindow;
    const std::chrono::duration<double> passed = now - bucket.filledAt;
    bucket.perSecond = account.ratePerSecond / parts;
    bucket.depth = beyond * m_options.usedPart / parts;
    bucket.tokens = std::min(bucket.depth, bucket.tokens + passed.count() * bucket.perSecond);
    bucket.filledAt = now;
}

auto RateShares::take(const config::ClientAccount& account, std::size_t hosts, milliseconds patience, MonotonicTime now)
    -> std::optional<milliseconds>
{
    if (account.isUnlimited)
        return milliseconds { 0 };
    auto found = m_buckets.find(account.name);
    if (found == m_buckets.end())
        found = m_buckets.emplace(account.name, Bucket { .filledAt = m_startedAt }).first;
    auto& bucket = found->second;
    refill(bucket, account, hosts, now);
    const auto wait = bucket.tokens >= 1 ? milliseconds { 0 } : millisecondsFor(1 - bucket.tokens, bucket.perSecond);
    if (wait > patience)
        return std::nullopt;
    bucket.tokens -= 1;
    return wait;
}

auto RateShares::turnIn(std::string_view account, MonotonicTime now) const -> milliseconds
{
    const auto found = m_buckets.find(account);
    if (found == m_buckets.end())
        return milliseconds { 0 };
    const auto& bucket = found->second;
    const std::chrono::duration<double> passed = now - bucket.filledAt;
    const double tokens = bucket.tokens + passed.count() * bucket.perSecond;
    return tokens >= 1 ? milliseconds { 0 } : millisecondsFor(1 - tokens, bucket.perSecond);
}

} // namespace coriandergate::dispatch
