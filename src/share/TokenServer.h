// The issuing side of the distributed rate limit: issues the tokens of the buckets whose seats this daemon holds. The
// seat map (seat/SeatMap.h) spreads the buckets over the daemons.
//
//   TokenServer server(self, leaseClient, lookupLimits, options);
//   send(server.handleRequest(request, now));
//
// A new holder of a seat does not know which tokens its predecessor issued. It assumes the maximum: the buckets are
// empty at the latest time at which a token that the predecessor issued in advance can become valid.
#pragma once

#include "base/Clock.h"
#include "base/DaemonIdentity.h"
#include "base/Mutex.h"
#include "seat/SeatLease.h"
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
class SeatLeaseClient;
}

namespace coriandergate::share {

// BucketLimitsLookup returns the limits of an account's buckets; empty for an unknown account. Called from any thread.
using BucketLimitsLookup = std::function<std::optional<BucketLimits>(std::string_view account)>;

// TokenServer is safe from any thread; each seat has its own lock. `leaseClient` must outlive it.
class TokenServer {
public:
    TokenServer(DaemonIdentity self, const seat::SeatLeaseClient& leaseClient, BucketLimitsLookup lookupLimits,
        RateLimitOptions options);

    // handleRequest() issues tokens within the limits. An item for a seat that this daemon does not hold at `now` is
    // answered with `isSeatHolder` false.
    [[nodiscard]] auto handleRequest(const TokenRequest& request, MonotonicTime now) -> TokenResponse;

    // removeFullBuckets() removes the state of full buckets, which does not change any response.
    auto removeFullBuckets(MonotonicTime now) -> void;

    // bucketCount() is the number of buckets in memory.
    [[nodiscard]] auto bucketCount() const -> std::size_t;

private:
    struct Bucket {
        TokenBucket tokens;
        BucketLimits limits;
    };

    struct Seat {
        Mutex mutex;
        seat::SeatTerm term GUARDED_BY(mutex);
        bool isFirstLease GUARDED_BY(mutex) = false; // no other daemon issued tokens before: the buckets start full
        MonotonicTime emptyAt GUARDED_BY(mutex); // otherwise the buckets are empty at this time
        std::unordered_map<std::string, Bucket> buckets GUARDED_BY(mutex); // by account and bucket index
    };

    auto handleItem(const TokenRequestItem& item, MonotonicTime now) -> TokenResponseItem;
    [[nodiscard]] auto seatFor(std::uint32_t seatIndex) -> std::shared_ptr<Seat>;
    [[nodiscard]] auto seats() const -> std::map<std::uint32_t, std::shared_ptr<Seat>>;
    auto issueTokens(Bucket& bucket, const TokenRequestItem& item, MonotonicTime now, TokenResponseItem& response) const
        -> void;
    auto updateLimits(Bucket& bucket, const BucketLimits& limits, MonotonicTime now) const -> void;

    const DaemonIdentity m_self;
    const seat::SeatLeaseClient& m_leaseClient;
    const BucketLimitsLookup m_lookupLimits;
    const RateLimitOptions m_options;
    mutable Mutex m_mutex;
    std::map<std::uint32_t, std::shared_ptr<Seat>> m_seats GUARDED_BY(m_mutex);
};

} // namespace coriandergate::share
