#include "share/TokenServer.h"

#include "seat/SeatAuthority.h"

#include <algorithm>

namespace coriandergate::share {

namespace {

    using std::chrono::microseconds;

    // One item asks for no more tokens than this, however long the queue behind it.
    constexpr std::uint32_t maximumTokensPerItem = 1000;

    auto keyOf(const TokenRequestItem& ask) -> std::string { return ask.account + '#' + std::to_string(ask.split); }

} // namespace

TokenServer::TokenServer(
    DaemonIdentity self, const seat::SeatAuthority& authority, BucketLimitsLookup limits, RateLimitOptions options)
    : m_self(std::move(self))
    , m_authority(authority)
    , m_limits(std::move(limits))
    , m_options(options)
{
}

auto TokenServer::handleRequest(const TokenRequest& ask, MonotonicTime now) -> TokenResponse
{
    TokenResponse grant { m_self, ask.from, {} };
    for (const auto& item : ask.items) {
        grant.items.push_back(ask.to == m_self ? answerItem(item, now) : TokenResponseItem {});
        grant.items.back().id = item.id;
    }
    return grant;
}

auto TokenServer::removeFullBuckets(MonotonicTime now) -> void
{
    for (const auto& [number, seat] : seats()) {
        const MutexLock lock(seat->mutex);
        std::erase_if(seat->accounts, [now](const auto& entry) { return entry.second.bucket.isFull(now); });
    }
}

auto TokenServer::bucketCount() const -> std::size_t
{
    std::size_t count = 0;
    for (const auto& [number, seat] : seats()) {
        const MutexLock lock(seat->mutex);
        count += seat->accounts.size();
    }
    return count;
}

auto TokenServer::answerItem(const TokenRequestItem& ask, MonotonicTime now) -> TokenResponseItem
{
    TokenResponseItem grant;
    const auto seat = seatFor(ask.seat);
    const MutexLock lock(seat->mutex);
    // Under the lock, so that an answer of a later term can't be followed by one of an earlier.
    const auto tenure = m_authority.tenure(ask.seat, now);
    if (!tenure)
        return grant;
    grant.isHome = true;
    if (seat->term != tenure->term) {
        seat->term = tenure->term;
        seat->isFirst = tenure->isFirst;
        seat->startAt = tenure->since + m_options.maximumWait;
        seat->accounts.clear();
    }
    const auto limits = m_limits(ask.account);
    if (!limits || ask.split >= limits->splits) {
        grant.retryAfter = m_options.maximumWait;
        return grant;
    }
    const auto start = seat->isFirst ? TokenBucket(now) : TokenBucket::emptyAt(*limits, seat->startAt);
    auto& account = seat->accounts.try_emplace(keyOf(ask), Account { start, *limits }).first->second;
    applyLimits(account, *limits, now);
    issue(account, ask, now, grant);
    return grant;
}

auto TokenServer::issue(
    Account& account, const TokenRequestItem& ask, MonotonicTime now, TokenResponseItem& grant) const -> void
{
    const auto& limits = account.limits;
    const auto patience = std::clamp(ask.patience, std::chrono::milliseconds::zero(), m_options.maximumWait);
    grant.lifetime = limits.lifetime;
    const auto needed = std::min(ask.needed, maximumTokensPerItem);
    while (grant.delays.size() < needed) {
        const auto delay = account.bucket.issue(limits, patience, now);
        if (!delay) {
            const auto wait = account.bucket.delay(limits, now) - patience;
            grant.retryAfter = std::chrono::ceil<microseconds>(wait);
            return;
        }
        grant.delays.push_back(std::chrono::ceil<microseconds>(*delay));
    }
    const auto wanted = needed + std::min(ask.ahead, maximumTokensPerItem);
    while (grant.delays.size() < wanted && account.bucket.hasPlenty(limits, now)) {
        if (!account.bucket.issue(limits, std::chrono::nanoseconds::zero(), now))
            return;
        grant.delays.emplace_back(0);
    }
}

auto TokenServer::applyLimits(Account& account, const BucketLimits& limits, MonotonicTime now) const -> void
{
    if (account.limits == limits)
        return;
    // Other homes may still issue for the former number of buckets until the change has reached them.
    if (account.limits.splits != limits.splits)
        account.bucket = TokenBucket::emptyAt(limits, now + m_options.settlingTime);
    else
        account.bucket.rescale(account.limits, limits, now);
    account.limits = limits;
}

auto TokenServer::seatFor(std::uint32_t number) -> std::shared_ptr<Seat>
{
    const MutexLock lock(m_mutex);
    auto& seat = m_seats[number];
    if (!seat)
        seat = std::make_shared<Seat>();
    return seat;
}

auto TokenServer::seats() const -> std::map<std::uint32_t, std::shared_ptr<Seat>>
{
    const MutexLock lock(m_mutex);
    return m_seats;
}

} // namespace coriandergate::share
