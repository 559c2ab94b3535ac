// Counts the ids for which an effect came after a cause, when both are met in any order.
//
//   CauseJoin join(65536);
//   join.addEffect("abc", 12s); // the run failed
//   join.addCause("abc", 11s); // a call of it had failed before
//   join.joined(); // 1
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string_view>
#include <unordered_map>

namespace coriandergate::log {

// CauseJoin remembers the last `capacity` ids, as 64-bit hashes. joined() is exact while forgotten() is 0; after that
// pairs that stand further apart in the logs are missed. Times of different hosts are compared as they are.
class CauseJoin {
public:
    explicit CauseJoin(std::size_t capacity)
        : m_capacity(capacity)
    {
    }

    auto addCause(std::string_view id, std::chrono::milliseconds time) -> void;
    auto addEffect(std::string_view id, std::chrono::milliseconds time) -> void;

    [[nodiscard]] auto joined() const -> std::uint64_t { return m_joined; }
    [[nodiscard]] auto forgotten() const -> std::uint64_t { return m_forgotten; }
    [[nodiscard]] auto size() const -> std::size_t { return m_entries.size(); }

private:
    struct Entry {
        std::chrono::milliseconds firstCause = std::chrono::milliseconds::max();
        std::chrono::milliseconds lastEffect = std::chrono::milliseconds::min();
        bool isJoined = false;
    };

    auto entryOf(std::string_view id) -> Entry&;
    auto join(Entry& entry) -> void;

    std::size_t m_capacity;
    std::unordered_map<std::uint64_t, Entry> m_entries;
    std::deque<std::uint64_t> m_order; // of their first mention
    std::uint64_t m_joined = 0;
    std::uint64_t m_forgotten = 0;
};

} // namespace coriandergate::log
