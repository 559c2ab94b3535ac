#include "config/KeyIndex.h"

#include "config/ClientAccount.h"
#include "config/Configuration.h"
#include "config/KeyDigest.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace coriandergate::config {

namespace {

    constexpr std::size_t bitsDigits = 16;

    auto leadingBits(std::string_view digest) -> std::uint64_t
    {
        std::uint64_t bits = 0;
        const auto head = digest.substr(0, bitsDigits);
        std::from_chars(head.data(), head.data() + head.size(), bits, 16);
        return bits;
    }

} // namespace

KeyIndex::KeyIndex(std::shared_ptr<const Configuration> configuration)
    : m_configuration(std::move(configuration))
{
    for (const auto& account : m_configuration->clientAccounts) {
        for (const auto& digest : account.keyDigests)
            m_entries.push_back({ leadingBits(digest), &digest, &account });
    }
    std::sort(m_entries.begin(), m_entries.end(),
        [](const Entry& left, const Entry& right) { return left.bits < right.bits; });
}

auto KeyIndex::accountForKey(std::string_view key) const -> const ClientAccount*
{
    return accountForDigest(digestOfKey(key));
}

auto KeyIndex::accountForDigest(std::string_view digest) const -> const ClientAccount*
{
    const auto bits = leadingBits(digest);
    auto entry = std::lower_bound(m_entries.begin(), m_entries.end(), bits,
        [](const Entry& candidate, std::uint64_t wanted) { return candidate.bits < wanted; });
    for (; entry != m_entries.end() && entry->bits == bits; ++entry) {
        if (areDigestsEqual(*entry->digest, digest))
            return entry->clientAccount;
    }
    return nullptr;
}

} // namespace coriandergate::config
