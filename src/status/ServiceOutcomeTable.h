// Records, for each service, when a request last received a response and when one was last refused.
//
//   table.recordRefusal("ledger", now);
//   const auto outcome = table.find("ledger");
//   if (outcome.lastRefusalAt && (!outcome.lastResponseAt || *outcome.lastResponseAt < *outcome.lastRefusalAt)) ...
#pragma once

#include "base/Clock.h"
#include "base/Mutex.h"

#include <array>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace coriandergate::status {

// ServiceOutcomeTable is safe from any thread; its entries are sharded by service name, with one lock per shard. It
// holds one small entry for each service that a configured route names.
class ServiceOutcomeTable {
public:
    struct Entry {
        std::optional<MonotonicTime> lastResponseAt;
        std::optional<MonotonicTime> lastRefusalAt;
    };

    // recordResponse() records that a target of `service` returned a complete response.
    auto recordResponse(std::string_view service, MonotonicTime now) -> void;

    // recordRefusal() records that a request for `service` was refused: no target was available, or an attempt failed
    // and could not be retried.
    auto recordRefusal(std::string_view service, MonotonicTime now) -> void;

    // find() returns the entry of `service`, or an empty entry if nothing has been recorded for it.
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
