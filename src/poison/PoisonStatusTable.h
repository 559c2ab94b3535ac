// The suspect and poison requests that one daemon knows of. Nearly every request is neither, which one look-up shows.
//
//   PoisonStatusTable table;
//   table.apply(update, now);
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

// PoisonStatusTable maps fingerprints to statuses, within a fixed number of entries. Safe from any thread: entries are
// sharded by fingerprint, each shard under its own lock.
class PoisonStatusTable {
public:
    // apply() stores a status update. Poison is kept until it expires, whatever other status arrives; Clear removes a
    // suspect. A new fingerprint is dropped when its shard is full of unexpired entries.
    auto apply(const PoisonStatusUpdate& update, MonotonicTime now) -> void;

    // statusOf() is the status of a request at `now`.
    [[nodiscard]] auto statusOf(std::uint64_t fingerprint, MonotonicTime now) const -> PoisonStatus;

    // size() is the number of entries, including expired ones that are not yet removed.
    [[nodiscard]] auto size() const -> std::size_t;

private:
    struct Entry {
        PoisonStatus status = PoisonStatus::Clear;
        MonotonicTime expiresAt;
    };

    struct alignas(64) Shard {
        mutable Mutex mutex;
        std::unordered_map<std::uint64_t, Entry> entries GUARDED_BY(mutex);
    };

    static constexpr std::size_t s_shardCount = 16;
    static constexpr std::size_t s_maximumEntriesPerShard = 1024;

    std::array<Shard, s_shardCount> m_shards;
};

} // namespace coriandergate::poison
