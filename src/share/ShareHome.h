// Issues the tokens of the client accounts whose seats this daemon holds.
//
//   ShareHome home(self, authority, limitsOf, options);
//   send(home.answer(ask, now));
//
// A new holder knows nothing of what the one before it issued, and takes it that all was used a moment ago: its buckets
// start empty, after the last token that the former may have issued ahead of time.
#pragma once

#include "base/Clock.h"
#include "base/DaemonIdentity.h"
#include "base/Mutex.h"
#include "seat/SeatLease.h"
#include "share/ShareAsk.h"
#include "share/ShareGrant.h"
#include "share/ShareLimits.h"
#include "share/TokenBucket.h"

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

// ShareLimitsSource gives the limits of an account by its name; nothing for an unknown one. Called from any thread.
using ShareLimitsSource = std::function<std::optional<ShareLimits>(std::string_view account)>;

// ShareHome is safe from any thread; each seat has its own lock. `authority` must outlive it.
class ShareHome {
public:
    ShareHome(
        DaemonIdentity self, const seat::SeatLeaseClient& authority, ShareLimitsSource limits, ShareOptions options);

    // answer() issues what it can. Items for seats that this daemon does not hold at `now` are answered so.
    [[nodiscard]] auto answer(const ShareAsk& ask, MonotonicTime now) -> ShareGrant;

    // dropIdle() forgets buckets that are full again, which changes no answer.
    auto dropIdle(MonotonicTime now) -> void;

    // bucketCount() is the number of buckets in memory.
    [[nodiscard]] auto bucketCount() const -> std::size_t;

private:
    struct Account {
        TokenBucket bucket;
        ShareLimits limits;
    };

    struct Seat {
        Mutex mutex;
        seat::SeatTerm term GUARDED_BY(mutex);
        bool isFirst GUARDED_BY(mutex) = false; // nobody issued tokens before: the buckets start full
        MonotonicTime startAt GUARDED_BY(mutex); // else no token is issued before
        std::unordered_map<std::string, Account> accounts GUARDED_BY(mutex); // by account and split
    };

    auto answerItem(const ShareAskItem& ask, MonotonicTime now) -> ShareGrantItem;
    [[nodiscard]] auto seatFor(std::uint32_t number) -> std::shared_ptr<Seat>;
    [[nodiscard]] auto seats() const -> std::map<std::uint32_t, std::shared_ptr<Seat>>;
    auto issue(Account& account, const ShareAskItem& ask, MonotonicTime now, ShareGrantItem& grant) const -> void;
    auto applyLimits(Account& account, const ShareLimits& limits, MonotonicTime now) const -> void;

    const DaemonIdentity m_self;
    const seat::SeatLeaseClient& m_authority;
    const ShareLimitsSource m_limits;
    const ShareOptions m_options;
    mutable Mutex m_mutex;
    std::map<std::uint32_t, std::shared_ptr<Seat>> m_seats GUARDED_BY(m_mutex);
};

} // namespace coriandergate::share
