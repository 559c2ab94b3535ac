// A digest of the membership table for anti-entropy: one hash per bucket of addresses. Two daemons compare digests to
// find the buckets in which their tables differ.
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

// TableDigest does not depend on the order in which records are added.
class TableDigest {
public:
    // TableDigest() is the digest of an empty table. `bucketCount` must be at least 1.
    explicit TableDigest(std::size_t bucketCount)
        : m_hashes(bucketCount)
    {
    }

    // bucketCountFor() returns the number of buckets for a table with `members` members.
    [[nodiscard]] static auto bucketCountFor(std::size_t members) -> std::size_t;

    // add() includes a record. Suspect counts as alive, because a suspicion ends without an exchange.
    auto add(const MemberUpdate& record) -> void;

    // differsAt() returns whether the bucket of `address` differs from the one in `otherHashes`, which must have the
    // same size as hashes().
    [[nodiscard]] auto differsAt(const std::string& address, std::span<const std::uint32_t> otherHashes) const -> bool;

    [[nodiscard]] auto hashes() const -> const std::vector<std::uint32_t>& { return m_hashes; }

private:
    [[nodiscard]] auto bucketOf(const std::string& address) const -> std::size_t;

    std::vector<std::uint32_t> m_hashes;
};

} // namespace coriandergate::member::internal
