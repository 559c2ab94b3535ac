#include "share/TokenClient.h"

#include "base/Hash.h"
#include "seat/SeatDirectory.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace coriandergate::share {

namespace {

    using std::chrono::microseconds;
    using std::chrono::milliseconds;

    // An account with this many waiting requests has further ones refused immediately.
    constexpr std::size_t maximumWaitersPerAccount = 1000;

    // Round-trip times are compared in steps of this size; buckets within one step count as equally near.
    constexpr milliseconds roundTripTimeStep { 5 };

    // No tokens of a bucket are requested for this long after a request to the presumed holder of its seat failed: the
    // daemon did not respond, or was not the holder.
    constexpr milliseconds pauseAfterFailure { 30 };

    constexpr std::chrono::seconds idleAccountTimeout { 10 };
    constexpr std::chrono::seconds retryAfterWithoutBuckets { 1 };

    auto toRetryAfter(MonotonicDuration wait) -> milliseconds
    {
        return std::max(milliseconds { 1 }, std::chrono::ceil<milliseconds>(wait));
    }

    // The buckets that are not paused, by round-trip time, equal ones in round-robin order. A bucket without a measured
    // round-trip time counts as nearest, so that each one is tried.
    template <typename Account>
    auto availableBuckets(const Account& account, MonotonicTime now) -> std::vector<std::uint32_t>
    {
        std::vector<std::uint32_t> available;
        for (std::uint32_t i = 0; i < account.limits.bucketCount; ++i) {
            const auto bucket = (account.nextBucket + i) % account.limits.bucketCount;
            if (account.buckets[bucket].pausedUntil <= now)
                available.push_back(bucket);
        }
        std::stable_sort(available.begin(), available.end(), [&account](auto left, auto right) {
            return account.buckets[left].roundTripTime / roundTripTimeStep
                < account.buckets[right].roundTripTime / roundTripTimeStep;
        });
        return available;
    }

    template <typename Batches> auto countTokens(const Batches& batches) -> std::size_t
    {
        std::size_t count = 0;
        for (const auto& batch : batches)
            count += batch.count;
        return count;
    }

    template <typename Batches> auto removeExpired(Batches& batches, MonotonicTime now) -> void
    {
        std::erase_if(batches, [now](const auto& batch) { return batch.expiresAt <= now || batch.count == 0; });
    }

    // Takes the valid token that expires first, and returns when it does.
    template <typename Batches> auto takeToken(Batches& batches, MonotonicTime now) -> std::optional<MonotonicTime>
    {
        typename Batches::value_type* best = nullptr;
        for (auto& batch : batches) {
            if (batch.count > 0 && batch.notBefore <= now && now < batch.expiresAt
                && (!best || batch.expiresAt < best->expiresAt))
                best = &batch;
        }
        if (!best)
            return std::nullopt;
        --best->count;
        return best->expiresAt;
    }

    // The end of the first pause, if all of the account's buckets are exhausted; empty otherwise.
    template <typename Account>
    auto exhaustedUntil(const Account& account, MonotonicTime now) -> std::optional<MonotonicTime>
    {
        auto earliest = MonotonicTime::max();
        for (std::uint32_t bucket = 0; bucket < account.limits.bucketCount; ++bucket) {
            const auto& state = account.buckets[bucket];
            if (!state.isExhausted || state.pausedUntil <= now)
                return std::nullopt;
            earliest = std::min(earliest, state.pausedUntil);
        }
        return earliest;
    }

} // namespace

TokenClient::TokenClient(DaemonIdentity self, seat::SeatDirectory& directory, RateLimitOptions options)
    : m_self(std::move(self))
    , m_directory(directory)
    , m_options(options)
{
}

auto TokenClient::acquire(std::string_view account, const BucketLimits& limits, MonotonicTime now) -> TokenDecision
{
    if (limits.bucketCount == 0)
        return TokenRefused { retryAfterWithoutBuckets };
    auto& shard = shardOf(account);
    const MutexLock lock(shard.mutex);
    auto found = shard.accounts.find(account);
    if (found == shard.accounts.end())
        found = shard.accounts.emplace(std::string(account), Account {}).first;
    auto& state = found->second;
    state.limits = limits;
    state.lastRequestAt = now;
    state.demand.recordRequest(now);
    removeExpired(state.batches, now);
    if (state.waiters.empty()) {
        if (const auto expiresAt = takeToken(state.batches, now)) {
            if (tokensToPrefetch(state, now) > 0)
                shard.activeAccounts.insert(found->first);
            return TokenGranted { *expiresAt };
        }
    }
    if (const auto until = exhaustedUntil(state, now); until && countTokens(state.batches) <= state.waiters.size())
        return TokenRefused { toRetryAfter(*until - now) };
    if (state.waiters.size() >= maximumWaitersPerAccount)
        return TokenRefused { m_options.maximumWait };
    const Waiter waiter { nextId(shard.lastSequence, shard), now + m_options.maximumWait };
    state.waiters.push_back(waiter);
    shard.activeAccounts.insert(found->first);
    return TokenPending { waiter.ticket, waiter.deadline };
}

auto TokenClient::cancel(std::string_view account, std::uint64_t ticket) -> void
{
    auto& shard = shardOf(account);
    const MutexLock lock(shard.mutex);
    const auto found = shard.accounts.find(account);
    if (found != shard.accounts.end())
        std::erase_if(found->second.waiters, [ticket](const auto& waiter) { return waiter.ticket == ticket; });
}

auto TokenClient::takeTokenRequests(MonotonicTime now) -> std::vector<TokenRequest>
{
    std::map<DaemonIdentity, TokenRequest> requestsByDaemon;
    for (auto& shard : m_shards) {
        const MutexLock lock(shard.mutex);
        for (const auto& name : shard.activeAccounts) {
            NewItems items;
            requestTokens(name, shard.accounts.find(name)->second, now, items);
            for (auto& [item, pending] : items) {
                item.id = nextId(shard.lastSequence, shard);
                auto& request
                    = requestsByDaemon.try_emplace(pending.to, TokenRequest { m_self, pending.to, {} }).first->second;
                request.items.push_back(item);
                shard.pendingItems.emplace(item.id, std::move(pending));
            }
        }
    }
    std::vector<TokenRequest> requests;
    for (auto& [to, request] : requestsByDaemon)
        requests.push_back(std::move(request));
    return requests;
}

auto TokenClient::handleResponse(const TokenResponse& response, MonotonicTime now) -> std::vector<DeferredDecision>
{
    Decisions decisions;
    for (const auto& item : response.items) {
        auto& shard = shardOfId(item.id);
        const MutexLock lock(shard.mutex);
        const auto found = shard.pendingItems.find(item.id);
        if (found == shard.pendingItems.end() || found->second.to != response.from)
            continue;
        const auto pending = std::move(found->second);
        shard.pendingItems.erase(found);
        auto& account = shard.accounts.find(pending.account)->second;
        account.neededInFlight -= pending.neededTokens;
        account.prefetchInFlight -= pending.prefetchTokens;
        if (item.isSeatHolder)
            addTokens(account, pending, item, now, decisions);
        else
            handleFailure(account, pending, now);
        shard.activeAccounts.insert(pending.account);
    }
    return decisions;
}

auto TokenClient::processTimers(MonotonicTime now) -> std::vector<DeferredDecision>
{
    Decisions decisions;
    for (auto& shard : m_shards) {
        const MutexLock lock(shard.mutex);
        while (!shard.pendingItems.empty()
            && now >= shard.pendingItems.begin()->second.sentAt + m_options.requestTimeout) {
            const auto& pending = shard.pendingItems.begin()->second;
            auto& account = shard.accounts.find(pending.account)->second;
            account.neededInFlight -= pending.neededTokens;
            account.prefetchInFlight -= pending.prefetchTokens;
            handleFailure(account, pending, now);
            shard.pendingItems.erase(shard.pendingItems.begin());
        }
        for (auto name = shard.activeAccounts.begin(); name != shard.activeAccounts.end();) {
            auto& account = shard.accounts.find(*name)->second;
            grantWaiters(account, now, decisions);
            refuseExpiredWaiters(account, now, decisions);
            const auto isActive = !account.waiters.empty() || tokensToPrefetch(account, now) > 0;
            name = isActive ? std::next(name) : shard.activeAccounts.erase(name);
        }
    }
    return decisions;
}

auto TokenClient::removeIdleAccounts(MonotonicTime now) -> void
{
    for (auto& shard : m_shards) {
        const MutexLock lock(shard.mutex);
        for (auto entry = shard.accounts.begin(); entry != shard.accounts.end();) {
            const auto& account = entry->second;
            const auto isRequesting = account.neededInFlight > 0 || account.prefetchInFlight > 0
                || shard.activeAccounts.contains(entry->first);
            const auto isIdle
                = !isRequesting && account.waiters.empty() && now >= account.lastRequestAt + idleAccountTimeout;
            entry = isIdle ? shard.accounts.erase(entry) : std::next(entry);
        }
    }
}

auto TokenClient::shardOf(std::string_view account) -> Shard& { return m_shards[hashOf(account) % s_shardCount]; }

auto TokenClient::shardOfId(std::uint64_t id) -> Shard& { return m_shards[id % s_shardCount]; }

auto TokenClient::nextId(std::uint64_t& lastSequence, const Shard& shard) const -> std::uint64_t
{
    return ++lastSequence * s_shardCount + static_cast<std::uint64_t>(&shard - m_shards.data());
}

auto TokenClient::requestTokens(const std::string& name, Account& account, MonotonicTime now, NewItems& items) const
    -> void
{
    removeExpired(account.batches, now);
    const auto available = availableBuckets(account, now);
    const auto covered = account.neededInFlight + countTokens(account.batches);
    const auto missing = account.waiters.size() > covered ? account.waiters.size() - covered : 0;
    const auto prefetch = tokensToPrefetch(account, now);
    if (available.empty() || (missing == 0 && prefetch == 0))
        return;
    account.nextBucket = (available.front() + 1) % account.limits.bucketCount;
    const auto maximumDelay = maximumDelayFor(account, available.size() == 1, now);
    addItem(name, account,
        { 0, 0, name, available.front(), static_cast<std::uint32_t>(missing), prefetch, maximumDelay }, now, items);
}

auto TokenClient::addItem(const std::string& name, Account& account, const TokenRequestItem& wanted, MonotonicTime now,
    NewItems& items) const -> void
{
    const auto seat = m_directory.seatOf(name, wanted.bucketIndex);
    const auto to = seat ? m_directory.holder(*seat) : std::nullopt;
    if (!to)
        return;
    account.neededInFlight += wanted.neededTokens;
    account.prefetchInFlight += wanted.prefetchTokens;
    items.emplace_back(
        wanted, PendingItem { name, *to, *seat, wanted.bucketIndex, wanted.neededTokens, wanted.prefetchTokens, now });
    items.back().first.seat = *seat;
}

// While another bucket may have a token sooner, only a short delay is accepted; from the last available bucket, a delay
// up to the deadline of the newest waiting request.
auto TokenClient::maximumDelayFor(const Account& account, bool isLastBucket, MonotonicTime now) const -> milliseconds
{
    // A token that becomes valid at the deadline is of use only if the response has arrived by then.
    const auto responseTime = m_options.requestTimeout / 2;
    if (account.waiters.empty() || account.waiters.back().deadline <= now + responseTime)
        return milliseconds::zero();
    const auto remaining = std::chrono::floor<milliseconds>(account.waiters.back().deadline - now) - responseTime;
    return isLastBucket ? remaining : std::min(remaining, m_options.waitPerBucket);
}

auto TokenClient::tokensToPrefetch(const Account& account, MonotonicTime now) const -> std::uint32_t
{
    const auto horizonSeconds = std::chrono::duration<double>(m_options.prefetchHorizon).count();
    const auto wanted = account.demand.requestsPerSecond(now) * horizonSeconds;
    if (wanted < 1)
        return 0;
    const auto stock = static_cast<double>(countTokens(account.batches) + account.prefetchInFlight);
    return stock < wanted / 2 ? static_cast<std::uint32_t>(std::ceil(wanted - stock)) : 0;
}

auto TokenClient::handleFailure(Account& account, const PendingItem& pending, MonotonicTime now) const -> void
{
    m_directory.markNotHolder(pending.seat, pending.to);
    auto& bucket = account.buckets[pending.bucketIndex];
    bucket.pausedUntil = now + pauseAfterFailure;
    bucket.isExhausted = false;
    bucket.roundTripTime = m_options.requestTimeout;
}

auto TokenClient::addTokens(Account& account, const PendingItem& pending, const TokenResponseItem& item,
    MonotonicTime now, Decisions& decisions) const -> void
{
    for (const auto delay : item.delays) {
        // The token server rounded the delay up by less than a microsecond.
        const TokenBatch batch { now + delay, pending.sentAt + delay + item.tokenLifetime - microseconds { 1 }, 1 };
        const auto fitsLastBatch = !account.batches.empty() && account.batches.back().expiresAt == batch.expiresAt
            && account.batches.back().notBefore == batch.notBefore;
        if (fitsLastBatch)
            ++account.batches.back().count;
        else if (batch.expiresAt > batch.notBefore)
            account.batches.push_back(batch);
    }
    account.buckets[pending.bucketIndex].roundTripTime = now - pending.sentAt;
    account.buckets[pending.bucketIndex].lastResponseAt = now;
    grantWaiters(account, now, decisions);
    if (item.delays.size() >= pending.neededTokens)
        return;
    account.buckets[pending.bucketIndex].pausedUntil = now + item.retryAfter;
    account.buckets[pending.bucketIndex].isExhausted = true;
    refuseExcessWaiters(account, now, decisions);
}

auto TokenClient::grantWaiters(Account& account, MonotonicTime now, Decisions& decisions) const -> void
{
    removeExpired(account.batches, now);
    auto waiter = account.waiters.begin();
    while (waiter != account.waiters.end()) {
        const auto expiresAt = takeToken(account.batches, now);
        if (!expiresAt)
            break;
        decisions.push_back({ waiter->ticket, TokenGranted { *expiresAt } });
        ++waiter;
    }
    account.waiters.erase(account.waiters.begin(), waiter);
}

auto TokenClient::refuseExpiredWaiters(Account& account, MonotonicTime now, Decisions& decisions) const -> void
{
    const auto firstUnexpired = std::find_if(
        account.waiters.begin(), account.waiters.end(), [now](const auto& waiter) { return now < waiter.deadline; });
    // After a recent response, the account is over its limit; without one, its tokens are unreachable.
    const auto hasRecentResponse = std::any_of(account.buckets.begin(), account.buckets.end(),
        [this, now](const auto& bucket) { return now < bucket.lastResponseAt + m_options.maximumWait; });
    for (auto waiter = account.waiters.begin(); waiter != firstUnexpired; ++waiter)
        decisions.push_back({ waiter->ticket, TokenRefused { m_options.maximumWait, hasRecentResponse } });
    account.waiters.erase(account.waiters.begin(), firstUnexpired);
}

auto TokenClient::refuseExcessWaiters(Account& account, MonotonicTime now, Decisions& decisions) const -> void
{
    const auto until = exhaustedUntil(account, now);
    const auto covered = account.neededInFlight + countTokens(account.batches);
    while (until && account.waiters.size() > covered) {
        decisions.push_back({ account.waiters.back().ticket, TokenRefused { toRetryAfter(*until - now) } });
        account.waiters.pop_back();
    }
}

} // namespace coriandergate::share
