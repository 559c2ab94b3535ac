// The queue of updates that a gossip node still has to disseminate, each a bounded number of times.
//
//   queue.push(member.record.address, false, now);
//   for (const auto* entry : queue.candidates(40))
//       ... // send the record at entry->address, then recordSend()
#pragma once

#include "base/Clock.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace coriandergate::member::internal {

// UpdateQueue holds addresses only: what is sent is the record at the time of sending. Not thread-safe.
class UpdateQueue {
public:
    struct Entry {
        std::string address;
        bool includesProfile = false;
        std::uint32_t sends = 0;
        std::uint64_t pushNumber = 0; // increases with every push()
        MonotonicTime queuedAt;
    };

    // push() queues the record at `address`, or requeues it with its send count reset to 0.
    auto push(const std::string& address, bool includesProfile, MonotonicTime now) -> void;

    // eraseQueuedBefore() removes the entries queued before `limit`, which the anti-entropy exchanges deliver instead.
    auto eraseQueuedBefore(MonotonicTime limit) -> void;

    // candidates() returns the entries to send next: those sent least often first, then the most recently queued. The
    // pointers are valid until the next non-const call.
    [[nodiscard]] auto candidates(std::size_t maximumCount) const -> std::vector<const Entry*>;

    // recordSend() counts a send of the entry for `address` and removes the entry after `maximumSends`.
    auto recordSend(const std::string& address, std::uint32_t maximumSends) -> void;

    // erase() removes the entry for `address`.
    auto erase(const std::string& address) -> void { m_entries.erase(address); }

    [[nodiscard]] auto isEmpty() const -> bool { return m_entries.empty(); }
    [[nodiscard]] auto size() const -> std::size_t { return m_entries.size(); }

private:
    std::unordered_map<std::string, Entry> m_entries;
    std::uint64_t m_lastPushNumber = 0;
};

} // namespace coriandergate::member::internal
