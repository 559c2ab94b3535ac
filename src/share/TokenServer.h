// Issues the tokens of the client accounts whose seats this daemon holds.
//
//   TokenServer home(self, authority, limitsOf, options);
//   send(home.handleRequest(ask, now));
//
// A new holder knows nothing of what the one before it issued, and takes it that all was used a moment ago: its buckets
// start empty, after the last token that the former may have issued ahead of time.
#pragma once

#include "base/Clock.h"
#include "base/DaemonIdentity.h"
#include "base/Mutex.h"
#include "seat/SeatTenure.h"
#include "share/BucketLimits.h"
#include "share/TokenBucket.h"
#include "share/TokenRequest.h"
#include "share/TokenResponse.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace coriandergate::seat {
class SeatAuthority;
}

namespace coriandergate::share {

// BucketLimitsLookup gives the limits of an account by its name; nothing for an unknown one. Called from any thread.
using BucketLimitsLookup = std::function<std::optional<BucketLimits>(std::string_view account)>;

// TokenServer is safe from any thread; each seat has its own lock. `authority` must outlive it.
class TokenServer {
public:
    TokenServer(
        DaemonIdentity self, const seat::SeatAuthority& authority, BucketLimitsLookup limits, RateLimitOptions options);

    // handleRequest() issues what it can. Items for seats that this daemon does not hold at `now` are answered so.
    [[nodiscard]] auto handleRequest(const TokenRequest& ask, MonotonicTime now) -> TokenResponse;

    // removeFullBuckets() forgets buckets that are full again, which changes no answer.
    auto removeFullBuckets(MonotonicTime now) -> void;

    // bucketCount() is the number of buckets in memory.
    [[nodiscard]] auto bucketCount() const -> std::size_t;

private:
    struct Account {
        TokenBucket bucket;
        BucketLimits limits;
    };

    struct Seat {
        Mutex mutex;
        seat::SeatTerm term GUARDED_BY(mutex);
        bool isFirst GUARDED_BY(mutex) = false; // nobody issued tokens before: the buckets start full
        MonotonicTime startAt GUARDED_BY(mutex); // else no token is issued before
        std::unordered_map<std::string, Account> accounts GUARDED_BY(mutex); // by account and split
    };

    auto answerItem(const TokenRequestItem& ask, MonotonicTime now) -> TokenResponseItem;
    [[nodiscard]] auto seatFor(std::uint32_t number) -> std::shared_ptr<Seat>;
    [[nodiscard]] auto seats() const -> std::map<std::uint32_t, std::shared_ptr<Seat>>;
    auto issue(Account& account, const TokenRequestItem& ask, MonotonicTime now, TokenResponseItem& grant) const
        -> void;
    auto applyLimits(Account& account, const BucketLimits& limits, MonotonicTime now) const -> void;

    const DaemonIdentity m_self;
    const seat::SeatAuthority& m_authority;
    const BucketLimitsLookup m_limits;
    const RateLimitOptions m_options;
    mutable Mutex m_mutex;
    std::map<std::uint32_t, std::shared_ptr<Seat>> m_seats GUARDED_BY(m_mutex);
};

} // namespace coriandergate::share
