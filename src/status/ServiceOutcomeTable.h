// Remembers, for each service, when a request was last answered and when one was last refused for want of a target.
//
//   board.recordRefusal("ledger", now);
//   const auto last = board.find("ledger");
//   if (last.refusedAt && (!last.answeredAt || *last.answeredAt < *last.refusedAt)) ...
#pragma once

#include "base/Clock.h"
#include "base/Mutex.h"

#include <array>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace coriandergate::status {

// ServiceOutcomeTable is safe from any thread; services are kept in shards, each under its own lock. It holds one small
// entry for each service that a configured route names.
class ServiceOutcomeTable {
public:
    struct Entry {
        std::optional<MonotonicTime> answeredAt;
        std::optional<MonotonicTime> refusedAt;
    };

    // recordResponse() notes that a target of `service` gave a whole answer.
    auto recordResponse(std::string_view service, MonotonicTime now) -> void;

    // recordRefusal() notes that a request for `service` found no target that would take it.
    auto recordRefusal(std::string_view service, MonotonicTime now) -> void;

    // find() is what is known of `service`.
    [[nodiscard]] auto find(std::string_view service) const -> Entry;

private:
    struct Shard {
        mutable Mutex mutex;
        std::map<std::string, Entry, std::less<>> entries GUARDED_BY(mutex);
    };

    static constexpr std::size_t s_shardCount = 16;

    [[nodiscard]] auto shardOf(std::string_view service) -> Shard&;

    std::array<Shard, s_shardCount> m_shards;
};

} // namespace coriandergate::status
