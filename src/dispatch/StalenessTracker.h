// How old the news from the store may be at most, on a clock that also counts suspensions.
//
// An answer of the store is at least as new as the sending of its question. A long poll is answered much later than it
// was sent, so the store's own clock, which stands in each answer, dates it more closely: it never ran ahead of what
// earlier questions and answers allow.
//
//   StalenessTracker proof({ .maximumAge = 4500ms });
//   proof.recordResponse(sentAt, receivedAt, storeTime);
//   if (!proof.isFresh(now)) refuse();
//
// Load pattern: hosts that are cut off from the store while callers with withdrawn keys stay connected.
#pragma once

#include "base/Clock.h"

#include <chrono>
#include <optional>

namespace coriandergate::dispatch {

// StalenessTracker is a value; not safe from several threads at once.
class StalenessTracker {
public:
    struct Options {
        std::chrono::milliseconds maximumAge { 4500 };
    };

    explicit StalenessTracker(const Options& options)
        : m_options(options)
    {
    }

    // recordResponse() notes a whole answer: when its question was sent, when it came, and the store's clock in it.
    auto recordResponse(SuspendAwareTime sentAt, SuspendAwareTime receivedAt, std::chrono::milliseconds storeTime)
        -> void;

    // recordRelayed() notes an answer that another daemon had from the store, by the store's clock in it. It proves
    // nothing before this host has had an answer of its own, to compare the clocks by.
    auto recordRelayed(std::chrono::milliseconds storeTime) -> void;

    // age() is the age of the newest proof; nothing before the first answer.
    [[nodiscard]] auto age(SuspendAwareTime now) const -> std::optional<std::chrono::milliseconds>;

    // isFresh() says that the news is no older than the maximum age.
    [[nodiscard]] auto isFresh(SuspendAwareTime now) const -> bool;

    // storeTime() is the store's clock at `now` as far as known, never ahead of it; nothing before the first answer.
    [[nodiscard]] auto storeTime(SuspendAwareTime now) const -> std::optional<std::chrono::milliseconds>;

private:
    Options m_options;
    std::optional<SuspendAwareTime> m_provenAt;
    std::optional<std::chrono::nanoseconds> m_latestOffset; // own clock less the store's, at the least
    std::optional<std::chrono::nanoseconds> m_offsetCeiling; // the same, at the most
    std::chrono::milliseconds m_lastStoreTime { 0 };
};

} // namespace coriandergate::dispatch
