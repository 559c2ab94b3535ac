// The requesting side of the distributed rate limit: takes a token for each request of a client account.
//
// The tokens of an account come from the daemons that hold the seats of its buckets (see seat/SeatMap.h). They are
// requested in batches, and ahead of steady demand. A token's lifetime runs from when its request was sent, which is
// before it was issued, so that the token always expires early here.
//
//   TokenClient client(self, directory, options);
//   const auto decision = client.acquire("account-7", limits, now);
//   // After acquire(), and every few milliseconds:
//   for (const auto& request : client.takeTokenRequests(now)) send(request);
//   for (const auto& decided : client.handleResponse(response, now)) resume(decided);
//   // Every few milliseconds:
//   for (const auto& decided : client.processTimers(now)) resume(decided);
#pragma once

#include "base/Clock.h"
#include "base/DaemonIdentity.h"
#include "base/Mutex.h"
#include "seat/SeatMap.h"
#include "share/BucketLimits.h"
#include "share/DemandEstimator.h"
#include "share/TokenDecision.h"
#include "share/TokenRequest.h"
#include "share/TokenResponse.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace coriandergate::seat {
class SeatDirectory;
}

namespace coriandergate::share {

// TokenClient is safe from any thread; accounts are spread over shards, each with its own lock. `directory` must
// outlive it.
class TokenClient {
public:
    TokenClient(DaemonIdentity self, seat::SeatDirectory& directory, RateLimitOptions options);

    // acquire() decides on one request of `account`, whose buckets have `limits`. It never blocks; on TokenPending, the
    // decision comes from handleResponse() or processTimers().
    [[nodiscard]] auto acquire(std::string_view account, const BucketLimits& limits, MonotonicTime now)
        -> TokenDecision;

    // cancel() removes a waiting request whose caller has disconnected; an unknown ticket is ignored.
    auto cancel(std::string_view account, std::uint64_t ticket) -> void;

    // takeTokenRequests() returns the messages that are due, one per daemon; the caller must send them immediately.
    [[nodiscard]] auto takeTokenRequests(MonotonicTime now) -> std::vector<TokenRequest>;

    // handleResponse() handles a response and returns the decisions it leads to. Late and duplicate responses are
    // ignored.
    [[nodiscard]] auto handleResponse(const TokenResponse& response, MonotonicTime now)
        -> std::vector<DeferredDecision>;

    // processTimers() expires unanswered token requests, and returns the decisions on requests whose token has become
    // valid or whose wait has ended.
    [[nodiscard]] auto processTimers(MonotonicTime now) -> std::vector<DeferredDecision>;

    // removeIdleAccounts() removes accounts without recent requests.
    auto removeIdleAccounts(MonotonicTime now) -> void;

private:
    static constexpr std::size_t s_shardCount = 64;

    struct TokenBatch {
        MonotonicTime notBefore;
        MonotonicTime expiresAt;
        std::uint32_t count = 0;
    };

    struct Waiter {
        std::uint64_t ticket = 0;
        MonotonicTime deadline;
    };

    // BucketState is what is known about one of the account's buckets and the daemon that issues its tokens.
    struct BucketState {
        MonotonicTime pausedUntil; // no tokens are requested before
        bool isExhausted = false; // paused because the bucket had too few tokens
        MonotonicDuration roundTripTime {}; // 0: none measured
        MonotonicTime lastResponseAt;
    };

    struct Account {
        BucketLimits limits;
        std::array<BucketState, seat::maximumSeatsPerKey> buckets;
        std::uint32_t nextBucket = 0;
        std::vector<TokenBatch> batches;
        std::vector<Waiter> waiters; // oldest first
        std::uint32_t neededInFlight = 0; // tokens requested for waiters and not yet answered
        std::uint32_t prefetchInFlight = 0;
        DemandEstimator demand;
        MonotonicTime lastRequestAt;
    };

    struct PendingItem {
        std::string account;
        DaemonIdentity to;
        std::uint32_t seat = 0;
        std::uint32_t bucketIndex = 0;
        std::uint32_t neededTokens = 0;
        std::uint32_t prefetchTokens = 0;
        MonotonicTime sentAt;
    };

    struct NameHash {
        using is_transparent = void; // NOLINT(readability-identifier-naming): the name the standard library requires
        auto operator()(std::string_view name) const -> std::size_t { return std::hash<std::string_view> {}(name); }
    };

    struct Shard {
        Mutex mutex;
        std::unordered_map<std::string, Account, NameHash, std::equal_to<>> accounts GUARDED_BY(mutex);
        // The accounts with waiting requests or tokens to prefetch.
        std::unordered_set<std::string, NameHash, std::equal_to<>> activeAccounts GUARDED_BY(mutex);
        std::map<std::uint64_t, PendingItem> pendingItems GUARDED_BY(mutex); // by id: ids increase with time
        std::uint64_t lastSequence GUARDED_BY(mutex) = 0;
    };

    using Decisions = std::vector<DeferredDecision>;
    using NewItems = std::vector<std::pair<TokenRequestItem, PendingItem>>;

    [[nodiscard]] auto shardOf(std::string_view account) -> Shard&;
    [[nodiscard]] auto shardOfId(std::uint64_t id) -> Shard&;

    // nextId() is a new id for a ticket or an item. Its remainder modulo s_shardCount is the index of `shard`.
    [[nodiscard]] auto nextId(std::uint64_t& lastSequence, const Shard& shard) const -> std::uint64_t;

    auto requestTokens(const std::string& name, Account& account, MonotonicTime now, NewItems& items) const -> void;
    auto addItem(const std::string& name, Account& account, const TokenRequestItem& wanted, MonotonicTime now,
        NewItems& items) const -> void;
    [[nodiscard]] auto maximumDelayFor(const Account& account, bool isLastBucket, MonotonicTime now) const
        -> std::chrono::milliseconds;
    [[nodiscard]] auto tokensToPrefetch(const Account& account, MonotonicTime now) const -> std::uint32_t;
    auto handleFailure(Account& account, const PendingItem& pending, MonotonicTime now) const -> void;
    auto addTokens(Account& account, const PendingItem& pending, const TokenResponseItem& item, MonotonicTime now,
        Decisions& decisions) const -> void;
    auto grantWaiters(Account& account, MonotonicTime now, Decisions& decisions) const -> void;
    auto refuseExpiredWaiters(Account& account, MonotonicTime now, Decisions& decisions) const -> void;
    auto refuseExcessWaiters(Account& account, MonotonicTime now, Decisions& decisions) const -> void;

    const DaemonIdentity m_self;
    seat::SeatDirectory& m_directory;
    const RateLimitOptions m_options;
    std::array<Shard, s_shardCount> m_shards;
};

} // namespace coriandergate::share
