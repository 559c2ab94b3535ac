#include "share/TokenServer.h"

#include "seat/SeatLeaseClient.h"

#include <algorithm>

namespace coriandergate::share {

namespace {

    using std::chrono::microseconds;

    // Caps the needed tokens of one item, and separately the prefetched ones, however many requests wait for them.
    constexpr std::uint32_t maximumTokensPerItem = 1000;

    auto bucketKey(const TokenRequestItem& item) -> std::string
    {
        return item.account + '#' + std::to_string(item.bucketIndex);
    }

} // namespace

TokenServer::TokenServer(DaemonIdentity self, const seat::SeatLeaseClient& leaseClient, BucketLimitsLookup lookupLimits,
    RateLimitOptions options)
    : m_self(std::move(self))
    , m_leaseClient(leaseClient)
    , m_lookupLimits(std::move(lookupLimits))
    , m_options(options)
{
}

auto TokenServer::handleRequest(const TokenRequest& request, MonotonicTime now) -> TokenResponse
{
    TokenResponse response { m_self, request.from, {} };
    for (const auto& item : request.items) {
        response.items.push_back(request.to == m_self ? handleItem(item, now) : TokenResponseItem {});
        response.items.back().id = item.id;
    }
    return response;
}

auto TokenServer::removeFullBuckets(MonotonicTime now) -> void
{
    for (const auto& [seatIndex, seat] : seats()) {
        const MutexLock lock(seat->mutex);
        std::erase_if(seat->buckets, [now](const auto& entry) { return entry.second.tokens.isFull(now); });
    }
}

auto TokenServer::bucketCount() const -> std::size_t
{
    std::size_t count = 0;
    for (const auto& [seatIndex, seat] : seats()) {
        const MutexLock lock(seat->mutex);
        count += seat->buckets.size();
    }
    return count;
}

auto TokenServer::handleItem(const TokenRequestItem& item, MonotonicTime now) -> TokenResponseItem
{
    TokenResponseItem response;
    const auto seat = seatFor(item.seat);
    const MutexLock lock(seat->mutex);
    // Read under the seat's lock, so that no item is handled under an earlier term than the item before it.
    const auto lease = m_leaseClient.heldLease(item.seat, now);
    if (!lease)
        return response;
    response.isSeatHolder = true;
    if (seat->term != lease->term) {
        seat->term = lease->term;
        seat->isFirstLease = lease->isFirstLease;
        seat->emptyAt = lease->heldSince + m_options.maximumWait;
        seat->buckets.clear();
    }
    const auto limits = m_lookupLimits(item.account);
    if (!limits || item.bucketIndex >= limits->bucketCount) {
        response.retryAfter = m_options.maximumWait;
        return response;
    }
    const auto initial = seat->isFirstLease ? TokenBucket(now) : TokenBucket::emptyAt(*limits, seat->emptyAt);
    auto& bucket = seat->buckets.try_emplace(bucketKey(item), Bucket { initial, *limits }).first->second;
    updateLimits(bucket, *limits, now);
    issueTokens(bucket, item, now, response);
    return response;
}

auto TokenServer::issueTokens(
    Bucket& bucket, const TokenRequestItem& item, MonotonicTime now, TokenResponseItem& response) const -> void
{
    const auto& limits = bucket.limits;
    const auto maximumDelay = std::clamp(item.maximumDelay, std::chrono::milliseconds::zero(), m_options.maximumWait);
    response.tokenLifetime = limits.tokenLifetime;
    const auto needed = std::min(item.neededTokens, maximumTokensPerItem);
    while (response.delays.size() < needed) {
        const auto delay = bucket.tokens.issue(limits, maximumDelay, now);
        if (!delay) {
            const auto wait = bucket.tokens.delayUntilNextToken(limits, now) - maximumDelay;
            response.retryAfter = std::chrono::ceil<microseconds>(wait);
            return;
        }
        response.delays.push_back(std::chrono::ceil<microseconds>(*delay));
    }
    const auto wanted = needed + std::min(item.prefetchTokens, maximumTokensPerItem);
    while (response.delays.size() < wanted && bucket.tokens.isHalfFull(limits, now)) {
        if (!bucket.tokens.issue(limits, std::chrono::nanoseconds::zero(), now))
            return;
        response.delays.emplace_back(0);
    }
}

auto TokenServer::updateLimits(Bucket& bucket, const BucketLimits& limits, MonotonicTime now) const -> void
{
    if (bucket.limits == limits)
        return;
    // Until the change has reached all daemons, others may still issue tokens for the previous number of buckets. The
    // bucket therefore starts empty at the end of that time.
    if (bucket.limits.bucketCount != limits.bucketCount)
        bucket.tokens = TokenBucket::emptyAt(limits, now + m_options.limitPropagationTime);
    else
        bucket.tokens.rescale(bucket.limits, limits, now);
    bucket.limits = limits;
}

auto TokenServer::seatFor(std::uint32_t seatIndex) -> std::shared_ptr<Seat>
{
    const MutexLock lock(m_mutex);
    auto& seat = m_seats[seatIndex];
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
