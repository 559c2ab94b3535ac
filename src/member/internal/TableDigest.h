// A table of beliefs in short: one hash for each bucket of addresses, by which two daemons find where their tables
// differ.
//
//   TableDigest digest(TableDigest::bucketCountFor(members.size()));
//   for (const auto& member : members)
//       digest.add(member.record);
//   if (digest.differsAt(member.record.address, other.hashes())) ...
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace coriandergate::member {
struct MemberUpdate;
}

namespace coriandergate::member::internal {

// TableDigest is a value. The order of adding doesn't matter.
class TableDigest {
public:
    // TableDigest() is that of an empty table in `bucketCount` buckets, at least one.
    explicit TableDigest(std::size_t bucketCount)
        : m_hashes(bucketCount)
    {
    }

    // bucketCountFor() is the number of buckets for a table of so many members.
    [[nodiscard]] static auto bucketCountFor(std::size_t members) -> std::size_t;

    // add() takes a belief into account. A suspicion counts as being alive: it ends by itself.
    auto add(const MemberUpdate& belief) -> void;

    // differsAt() says whether the bucket of `address` differs from that in `others`, which has as many buckets.
    [[nodiscard]] auto differsAt(const std::string& address, std::span<const std::uint32_t> others) const -> bool;

    [[nodiscard]] auto hashes() const -> const std::vector<std::uint32_t>& { return m_hashes; }

private:
    [[nodiscard]] auto bucketOf(const std::string& address) const -> std::size_t;

    std::vector<std::uint32_t> m_hashes;
};

} // namespace coriandergate::member::internal
