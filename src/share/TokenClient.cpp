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

    // Beyond this queue an account's further requests are refused at once.
    constexpr std::size_t maximumWaiters = 1000;

    // Round trips that differ by less are taken for equal.
    constexpr milliseconds aboutAsNear { 5 };

    // A bucket whose home did not answer, or is another, is left alone for this long.
    constexpr milliseconds unansweredPause { 30 };

    constexpr std::chrono::seconds idleTime { 10 };
    constexpr std::chrono::seconds noShareRetryAfter { 1 };

    auto toRetryAfter(MonotonicDuration wait) -> milliseconds
    {
        return std::max(milliseconds { 1 }, std::chrono::ceil<milliseconds>(wait));
    }

    // The buckets that may be asked now, the nearest first, and those about as near in turn. One that was never asked
    // counts as near, so that each is tried.
    template <typename Account> auto openSplits(const Account& account, MonotonicTime now) -> std::vector<std::uint32_t>
    {
        std::vector<std::uint32_t> open;
        for (std::uint32_t i = 0; i < account.limits.splits; ++i) {
            const auto split = (account.nextSplit + i) % account.limits.splits;
            if (account.splits[split].closedUntil <= now)
                open.push_back(split);
        }
        std::stable_sort(open.begin(), open.end(), [&account](auto left, auto right) {
            return account.splits[left].roundTrip / aboutAsNear < account.splits[right].roundTrip / aboutAsNear;
        });
        return open;
    }

    template <typename Lots> auto countTokens(const Lots& lots) -> std::size_t
    {
        std::size_t count = 0;
        for (const auto& lot : lots)
            count += lot.count;
        return count;
    }

    template <typename Lots> auto dropExpired(Lots& lots, MonotonicTime now) -> void
    {
        std::erase_if(lots, [now](const auto& lot) { return lot.useBy <= now || lot.count == 0; });
    }

    // The token that expires first among those that may be used now.
    template <typename Lots> auto takeToken(Lots& lots, MonotonicTime now) -> std::optional<MonotonicTime>
    {
        typename Lots::value_type* best = nullptr;
        for (auto& lot : lots) {
            if (lot.count > 0 && lot.notBefore <= now && now < lot.useBy && (!best || lot.useBy < best->useBy))
                best = &lot;
        }
        if (!best)
            return std::nullopt;
        --best->count;
        return best->useBy;
    }

    // When the first bucket opens again, if all of the account's buckets are exhausted.
    template <typename Account>
    auto exhaustedUntil(const Account& account, MonotonicTime now) -> std::optional<MonotonicTime>
    {
        auto earliest = MonotonicTime::max();
        for (std::uint32_t split = 0; split < account.limits.splits; ++split) {
            const auto& state = account.splits[split];
            if (!state.isExhausted || state.closedUntil <= now)
                return std::nullopt;
            earliest = std::min(earliest, state.closedUntil);
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
    if (limits.splits == 0)
        return TokenRefused { noShareRetryAfter };
    auto& shard = shardOf(account);
    const MutexLock lock(shard.mutex);
    auto found = shard.accounts.find(account);
    if (found == shard.accounts.end())
        found = shard.accounts.emplace(std::string(account), Account {}).first;
    auto& state = found->second;
    state.limits = limits;
    state.lastUse = now;
    state.demand.note(now);
    dropExpired(state.lots, now);
    if (state.waiters.empty()) {
        if (const auto useBy = takeToken(state.lots, now)) {
            if (aheadWanted(state, now) > 0)
                shard.active.insert(found->first);
            return TokenGranted { *useBy };
        }
    }
    if (const auto until = exhaustedUntil(state, now); until && countTokens(state.lots) <= state.waiters.size())
        return TokenRefused { toRetryAfter(*until - now) };
    if (state.waiters.size() >= maximumWaiters)
        return TokenRefused { m_options.maximumWait };
    const Waiter waiter { nextId(shard.lastNumber, shard), now + m_options.maximumWait };
    state.waiters.push_back(waiter);
    shard.active.insert(found->first);
    return TokenPending { waiter.ticket, waiter.until };
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
    std::map<DaemonIdentity, TokenRequest> batches;
    for (auto& shard : m_shards) {
        const MutexLock lock(shard.mutex);
        for (const auto& name : shard.active) {
            AskItems items;
            planAsks(name, shard.accounts.find(name)->second, now, items);
            for (auto& [item, ask] : items) {
                item.id = nextId(shard.lastNumber, shard);
                auto& batch = batches.try_emplace(ask.to, TokenRequest { m_self, ask.to, {} }).first->second;
                batch.items.push_back(item);
                shard.asks.emplace(item.id, std::move(ask));
            }
        }
    }
    std::vector<TokenRequest> asks;
    for (auto& [to, ask] : batches)
        asks.push_back(std::move(ask));
    return asks;
}

auto TokenClient::handleResponse(const TokenResponse& grant, MonotonicTime now) -> std::vector<DeferredDecision>
{
    Settlements settled;
    for (const auto& item : grant.items) {
        auto& shard = shardOfId(item.id);
        const MutexLock lock(shard.mutex);
        const auto found = shard.asks.find(item.id);
        if (found == shard.asks.end() || found->second.to != grant.from)
            continue;
        const auto ask = std::move(found->second);
        shard.asks.erase(found);
        auto& account = shard.accounts.find(ask.account)->second;
        account.expected -= ask.needed;
        account.expectedAhead -= ask.ahead;
        if (item.isHome)
            takeGrant(account, ask, item, now, settled);
        else
            noteUnanswered(account, ask, now);
        shard.active.insert(ask.account);
    }
    return settled;
}

auto TokenClient::processTimers(MonotonicTime now) -> std::vector<DeferredDecision>
{
    Settlements settled;
    for (auto& shard : m_shards) {
        const MutexLock lock(shard.mutex);
        while (!shard.asks.empty() && now >= shard.asks.begin()->second.sentAt + m_options.askTimeout) {
            const auto& ask = shard.asks.begin()->second;
            auto& account = shard.accounts.find(ask.account)->second;
            account.expected -= ask.needed;
            account.expectedAhead -= ask.ahead;
            noteUnanswered(account, ask, now);
            shard.asks.erase(shard.asks.begin());
        }
        for (auto name = shard.active.begin(); name != shard.active.end();) {
            auto& account = shard.accounts.find(*name)->second;
            serve(account, now, settled);
            refuseOverdue(account, now, settled);
            const auto isActive = !account.waiters.empty() || aheadWanted(account, now) > 0;
            name = isActive ? std::next(name) : shard.active.erase(name);
        }
    }
    return settled;
}

auto TokenClient::removeIdleAccounts(MonotonicTime now) -> void
{
    for (auto& shard : m_shards) {
        const MutexLock lock(shard.mutex);
        for (auto entry = shard.accounts.begin(); entry != shard.accounts.end();) {
            const auto& account = entry->second;
            const auto isAsking
                = account.expected > 0 || account.expectedAhead > 0 || shard.active.contains(entry->first);
            const auto isIdle = !isAsking && account.waiters.empty() && now >= account.lastUse + idleTime;
            entry = isIdle ? shard.accounts.erase(entry) : std::next(entry);
        }
    }
}

auto TokenClient::shardOf(std::string_view account) -> Shard& { return m_shards[hashOf(account) % s_shardCount]; }

auto TokenClient::shardOfId(std::uint64_t id) -> Shard& { return m_shards[id % s_shardCount]; }

auto TokenClient::nextId(std::uint64_t& lastNumber, const Shard& shard) const -> std::uint64_t
{
    return ++lastNumber * s_shardCount + static_cast<std::uint64_t>(&shard - m_shards.data());
}

auto TokenClient::planAsks(const std::string& name, Account& account, MonotonicTime now, AskItems& items) const -> void
{
    dropExpired(account.lots, now);
    const auto open = openSplits(account, now);
    const auto covered = account.expected + countTokens(account.lots);
    const auto missing = account.waiters.size() > covered ? account.waiters.size() - covered : 0;
    const auto ahead = aheadWanted(account, now);
    if (open.empty() || (missing == 0 && ahead == 0))
        return;
    account.nextSplit = (open.front() + 1) % account.limits.splits;
    const auto patience = patienceFor(account, open.size() == 1, now);
    addAsk(
        name, account, { 0, 0, name, open.front(), static_cast<std::uint32_t>(missing), ahead, patience }, now, items);
}

auto TokenClient::addAsk(const std::string& name, Account& account, const TokenRequestItem& wanted, MonotonicTime now,
    AskItems& items) const -> void
{
    const auto seat = m_directory.seatOf(name, wanted.split);
    const auto to = seat ? m_directory.holder(*seat) : std::nullopt;
    if (!to)
        return;
    account.expected += wanted.needed;
    account.expectedAhead += wanted.ahead;
    items.emplace_back(wanted, AskInFlight { name, *to, *seat, wanted.split, wanted.needed, wanted.ahead, now });
    items.back().first.seat = *seat;
}

// While another bucket may have a token at once, none is waited for; the last one is waited for to the end.
auto TokenClient::patienceFor(const Account& account, bool isLast, MonotonicTime now) const -> milliseconds
{
    // A token that is to be used at the last moment must have arrived by then.
    const auto allowance = m_options.askTimeout / 2;
    if (account.waiters.empty() || account.waiters.back().until <= now + allowance)
        return milliseconds::zero();
    const auto left = std::chrono::floor<milliseconds>(account.waiters.back().until - now) - allowance;
    return isLast ? left : std::min(left, m_options.shortWait);
}

auto TokenClient::aheadWanted(const Account& account, MonotonicTime now) const -> std::uint32_t
{
    const auto horizon = std::chrono::duration<double>(m_options.aheadHorizon).count();
    const auto target = account.demand.rate(now) * horizon;
    if (target < 1)
        return 0;
    const auto stock = static_cast<double>(countTokens(account.lots) + account.expectedAhead);
    return stock < target / 2 ? static_cast<std::uint32_t>(std::ceil(target - stock)) : 0;
}

auto TokenClient::noteUnanswered(Account& account, const AskInFlight& ask, MonotonicTime now) const -> void
{
    m_directory.reject(ask.seat, ask.to);
    auto& split = account.splits[ask.split];
    split.closedUntil = now + unansweredPause;
    split.isExhausted = false;
    split.roundTrip = m_options.askTimeout;
}

auto TokenClient::takeGrant(Account& account, const AskInFlight& ask, const TokenResponseItem& item, MonotonicTime now,
    Settlements& settled) const -> void
{
    for (const auto delay : item.delays) {
        // The home rounded the delay up by less than a microsecond.
        const Lot lot { now + delay, ask.sentAt + delay + item.lifetime - microseconds { 1 }, 1 };
        const auto isLikeLast = !account.lots.empty() && account.lots.back().useBy == lot.useBy
            && account.lots.back().notBefore == lot.notBefore;
        if (isLikeLast)
            ++account.lots.back().count;
        else if (lot.useBy > lot.notBefore)
            account.lots.push_back(lot);
    }
    account.splits[ask.split].roundTrip = now - ask.sentAt;
    account.splits[ask.split].answeredAt = now;
    serve(account, now, settled);
    if (item.delays.size() >= ask.needed)
        return;
    account.splits[ask.split].closedUntil = now + item.retryAfter;
    account.splits[ask.split].isExhausted = true;
    refuseSurplus(account, now, settled);
}

auto TokenClient::serve(Account& account, MonotonicTime now, Settlements& settled) const -> void
{
    dropExpired(account.lots, now);
    auto waiter = account.waiters.begin();
    while (waiter != account.waiters.end()) {
        const auto useBy = takeToken(account.lots, now);
        if (!useBy)
            break;
        settled.push_back({ waiter->ticket, TokenGranted { *useBy } });
        ++waiter;
    }
    account.waiters.erase(account.waiters.begin(), waiter);
}

auto TokenClient::refuseOverdue(Account& account, MonotonicTime now, Settlements& settled) const -> void
{
    const auto overdue = std::find_if(
        account.waiters.begin(), account.waiters.end(), [now](const auto& waiter) { return now < waiter.until; });
    // A token that came too late, or was asked for at a home that has been heard, speaks for the limit.
    const auto hasAnswered = std::any_of(account.splits.begin(), account.splits.end(),
        [this, now](const auto& split) { return now < split.answeredAt + m_options.maximumWait; });
    for (auto waiter = account.waiters.begin(); waiter != overdue; ++waiter)
        settled.push_back({ waiter->ticket, TokenRefused { m_options.maximumWait, hasAnswered } });
    account.waiters.erase(account.waiters.begin(), overdue);
}

auto TokenClient::refuseSurplus(Account& account, MonotonicTime now, Settlements& settled) const -> void
{
    const auto until = exhaustedUntil(account, now);
    const auto covered = account.expected + countTokens(account.lots);
    while (until && account.waiters.size() > covered) {
        settled.push_back({ account.waiters.back().ticket, TokenRefused { toRetryAfter(*until - now) } });
        account.waiters.pop_back();
    }
}

} // namespace coriandergate::share
