#include "member/internal/TableDigest.h"

#include "base/Hash.h"
#include "member/MemberUpdate.h"

#include <algorithm>
#include <bit>

namespace coriandergate::member::internal {

namespace {

    constexpr std::size_t membersPerBucket = 6;
    constexpr std::size_t maximumBuckets = 512;

    auto digestOf(const MemberUpdate& record) -> std::uint32_t
    {
        auto digest = hashOf(record.address, record.generation);
        digest ^= hashOf(record.address, (std::uint64_t { record.refutationNumber } << 32) + record.profileVersion);
        if (record.state >= MemberState::Leaving)
            digest = ~digest;
        return static_cast<std::uint32_t>(digest);
    }

}

auto TableDigest::bucketCountFor(std::size_t members) -> std::size_t
{
    return std::clamp<std::size_t>(std::bit_ceil(members / membersPerBucket + 1), 1, maximumBuckets);
}

auto TableDigest::add(const MemberUpdate& record) -> void { m_hashes[bucketOf(record.address)] += digestOf(record); }

auto TableDigest::differsAt(const std::string& address, std::span<const std::uint32_t> otherHashes) const -> bool
{
    const auto bucket = bucketOf(address);
    return m_hashes[bucket] != otherHashes[bucket];
}

auto TableDigest::bucketOf(const std::string& address) const -> std::size_t
{
    return hashOf(address) % m_hashes.size();
}

} // namespace coriandergate::member::internal
