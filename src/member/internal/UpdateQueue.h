// The updates that a node still has to pass on, each a bounded number of times.
#pragma once

#include "base/Clock.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace coriandergate::member::internal {

// UpdateQueue holds names only: what is sent is the belief at the time of sending. Not thread-safe.
class UpdateQueue {
public:
    struct Entry {
        std::string address;
        bool withProfile = false;
        std::uint32_t sends = 0;
        std::uint64_t order = 0;
        MonotonicTime queuedAt;
    };

    // push() queues the belief about `address` anew at `now`, with no send counted yet.
    auto push(const std::string& address, bool withProfile, MonotonicTime now) -> void;

    // eraseQueuedBefore() drops what has waited since before `limit`: exchanges of tables carry that by then.
    auto eraseQueuedBefore(MonotonicTime limit) -> void;

    // candidates() is the entries to send next, the least often sent first and the newest first among those. Valid
    // until the next push() or countSend().
    [[nodiscard]] auto candidates(std::size_t maximumCount) const -> std::vector<const Entry*>;

    // countSend() notes that the entry for `address` was sent, and drops it after `maximumSends`.
    auto countSend(const std::string& address, std::uint32_t maximumSends) -> void;

    // erase() drops the entry for `address`.
    auto erase(const std::string& address) -> void { m_entries.erase(address); }

    [[nodiscard]] auto isEmpty() const -> bool { return m_entries.empty(); }
    [[nodiscard]] auto size() const -> std::size_t { return m_entries.size(); }

private:
    std::unordered_map<std::string, Entry> m_entries;
    std::uint64_t m_order = 0;
};

} // namespace coriandergate::member::internal
