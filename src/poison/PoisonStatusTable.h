// What one daemon knows of suspect and poisonous requests. Nearly every request is neither, and costs one look-up.
//
//   PoisonStatusTable table;
//   table.apply(notice, now);
//   if (table.statusOf(fingerprint, now) == PoisonStatus::Poison) refuse();
#pragma once

#include "base/Clock.h"
#include "base/Mutex.h"
#include "poison/PoisonStatusUpdate.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace coriandergate::poison {

// PoisonStatusTable is bounded. Safe from any thread; state is in shards by fingerprint, each under its own lock.
class PoisonStatusTable {
public:
    // apply() takes over a notice. Poison gives way only to its time; a notice of clearance clears a suspect.
    auto apply(const PoisonStatusUpdate& notice, MonotonicTime now) -> void;

    // statusOf() is how a request is to be treated at `now`.
    [[nodiscard]] auto statusOf(std::uint64_t fingerprint, MonotonicTime now) const -> PoisonStatus;

    // size() is the number of fingerprints known, some of which may be out of date.
    [[nodiscard]] auto size() const -> std::size_t;

private:
    struct Entry {
        PoisonStatus status = PoisonStatus::Clear;
        MonotonicTime until;
    };

    struct alignas(64) Shard {
        mutable Mutex mutex;
        std::unordered_map<std::uint64_t, Entry> entries GUARDED_BY(mutex);
    };

    static constexpr std::size_t s_shardCount = 16;
    static constexpr std::size_t s_entriesPerShard = 1024;

    std::array<Shard, s_shardCount> m_shards;
};

} // namespace coriandergate::poison
