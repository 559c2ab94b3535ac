// The entry's side of the shares of client accounts: takes a token for each request, and asks the accounts' homes for
// them in batches, ahead of steady demand.
//
//   TokenClient client(self, directory, options);
//   const auto decision = client.acquire("account-7", limits, now);
//   // After acquire(), and every few milliseconds:
//   for (const auto& request : client.takeTokenRequests(now)) send(request);
//   for (const auto& decided : client.handleResponse(response, now)) resume(decided);
//   // Every few milliseconds:
//   for (const auto& decided : client.processTimers(now)) resume(decided);
//
// A token's lifetime runs from the moment its ask was sent, before the home issued it, so that it always ends early.
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

// TokenClient is safe from any thread; accounts are spread over shards, each under its own lock. `directory` must
// outlive it.
class TokenClient {
public:
    TokenClient(DaemonIdentity self, seat::SeatDirectory& directory, RateLimitOptions options);

    // acquire() decides on one request of `account`, whose limits are `limits`. It never blocks; a TokenPending is
    // settled by handleResponse() or processTimers().
    [[nodiscard]] auto acquire(std::string_view account, const BucketLimits& limits, MonotonicTime now)
        -> TokenDecision;

    // cancel() forgets a waiting request whose caller has gone; an unknown ticket is ignored.
    auto cancel(std::string_view account, std::uint64_t ticket) -> void;

    // takeTokenRequests() returns the messages that are due, one a home; each must be sent now.
    [[nodiscard]] auto takeTokenRequests(MonotonicTime now) -> std::vector<TokenRequest>;

    // handleResponse() takes a home's answer and returns the requests it settles. Late and repeated answers are
    // ignored.
    [[nodiscard]] auto handleResponse(const TokenResponse& grant, MonotonicTime now) -> std::vector<DeferredDecision>;

    // processTimers() returns the requests that are settled by the time alone.
    [[nodiscard]] auto processTimers(MonotonicTime now) -> std::vector<DeferredDecision>;

    // removeIdleAccounts() forgets accounts without recent requests.
    auto removeIdleAccounts(MonotonicTime now) -> void;

private:
    static constexpr std::size_t s_shardCount = 64;

    struct Lot {
        MonotonicTime notBefore;
        MonotonicTime useBy;
        std::uint32_t count = 0;
    };

    struct Waiter {
        std::uint64_t ticket = 0;
        MonotonicTime until;
    };

    // A bucket of the account: until when it is not asked, whether its home said so, and how far off that home is.
    struct Split {
        MonotonicTime closedUntil;
        bool isExhausted = false;
        MonotonicDuration roundTrip {}; // 0: not asked yet
        MonotonicTime answeredAt; // last by its home
    };

    struct Account {
        BucketLimits limits;
        std::array<Split, seat::maximumSplits> splits;
        std::uint32_t nextSplit = 0;
        std::vector<Lot> lots;
        std::vector<Waiter> waiters; // the longest waiting first
        std::uint32_t expected = 0; // tokens needed by asks in flight
        std::uint32_t expectedAhead = 0;
        DemandEstimator demand;
        MonotonicTime lastUse;
    };

    struct AskInFlight {
        std::string account;
        DaemonIdentity to;
        std::uint32_t seat = 0;
        std::uint32_t split = 0;
        std::uint32_t needed = 0;
        std::uint32_t ahead = 0;
        MonotonicTime sentAt;
    };

    struct NameHash {
        using is_transparent = void; // NOLINT(readability-identifier-naming): the library's name
        auto operator()(std::string_view name) const -> std::size_t { return std::hash<std::string_view> {}(name); }
    };

    struct Shard {
        Mutex mutex;
        std::unordered_map<std::string, Account, NameHash, std::equal_to<>> accounts GUARDED_BY(mutex);
        std::unordered_set<std::string, NameHash, std::equal_to<>> active GUARDED_BY(
            mutex); // may have to ask or settle
        std::map<std::uint64_t, AskInFlight> asks GUARDED_BY(mutex); // by id, which grows with time
        std::uint64_t lastNumber GUARDED_BY(mutex) = 0;
    };

    using Settlements = std::vector<DeferredDecision>;
    using AskItems = std::vector<std::pair<TokenRequestItem, AskInFlight>>;

    [[nodiscard]] auto shardOf(std::string_view account) -> Shard&;
    [[nodiscard]] auto shardOfId(std::uint64_t id) -> Shard&;
    [[nodiscard]] auto nextId(std::uint64_t& lastNumber, const Shard& shard) const -> std::uint64_t;

    auto planAsks(const std::string& name, Account& account, MonotonicTime now, AskItems& items) const -> void;
    auto addAsk(const std::string& name, Account& account, const TokenRequestItem& wanted, MonotonicTime now,
        AskItems& items) const -> void;
    [[nodiscard]] auto patienceFor(const Account& account, bool isLast, MonotonicTime now) const
        -> std::chrono::milliseconds;
    [[nodiscard]] auto aheadWanted(const Account& account, MonotonicTime now) const -> std::uint32_t;
    auto noteUnanswered(Account& account, const AskInFlight& ask, MonotonicTime now) const -> void;
    auto takeGrant(Account& account, const AskInFlight& ask, const TokenResponseItem& item, MonotonicTime now,
        Settlements& settled) const -> void;
    auto serve(Account& account, MonotonicTime now, Settlements& settled) const -> void;
    auto refuseOverdue(Account& account, MonotonicTime now, Settlements& settled) const -> void;
    auto refuseSurplus(Account& account, MonotonicTime now, Settlements& settled) const -> void;

    const DaemonIdentity m_self;
    seat::SeatDirectory& m_directory;
    const RateLimitOptions m_options;
    std::array<Shard, s_shardCount> m_shards;
};

} // namespace coriandergate::share
