#include "control/KeyChange.h"

#include "config/Configuration.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <sodium.h>
#include <utility>

namespace coriandergate::control {

namespace {

    constexpr std::size_t keyBytes = 32;
    constexpr std::size_t leastDigestStart = 8; // hexadecimal digits

    // countHolders() is how many keys have digests that start with `digestStart`.
    auto countHolders(const config::Configuration& base, std::string_view digestStart) -> std::size_t
    {
        std::size_t count = 0;
        for (const auto& account : base.clientAccounts) {
            count += static_cast<std::size_t>(std::count_if(account.keyDigests.begin(), account.keyDigests.end(),
                [&](const std::string& digest) { return digest.starts_with(digestStart); }));
        }
        return count;
    }

} // namespace

auto makeKey() -> std::string
{
    std::array<unsigned char, keyBytes> bytes {};
    randombytes_buf(bytes.data(), bytes.size());
    std::string key(sodium_base64_encoded_len(keyBytes, sodium_base64_VARIANT_URLSAFE_NO_PADDING), '\0');
    sodium_bin2base64(key.data(), key.size(), bytes.data(), bytes.size(), sodium_base64_VARIANT_URLSAFE_NO_PADDING);
    key.pop_back();
    return key;
}

auto withKeyIssued(const config::Configuration& base, std::string_view account, std::string_view digest, Error& reason)
    -> std::optional<config::Configuration>
{
    auto intended = base;
    ++intended.version;
    const auto holder = std::find_if(intended.clientAccounts.begin(), intended.clientAccounts.end(),
        [&](const config::ClientAccount& candidate) { return candidate.name == account; });
    if (holder == intended.clientAccounts.end()) {
        reason = { "issue key", {}, "there is no client account '" + std::string(account) + "'" };
        return std::nullopt;
    }
    if (countHolders(base, digest) != 0) {
        reason = { "issue key", {}, "the key is held already" };
        return std::nullopt;
    }
    holder->keyDigests.emplace_back(digest);
    std::sort(holder->keyDigests.begin(), holder->keyDigests.end());
    return intended;
}

auto withKeyWithdrawn(const config::Configuration& base, std::string_view digestStart, Error& reason)
    -> std::optional<config::Configuration>
{
    const auto holders = countHolders(base, digestStart);
    if (digestStart.size() < leastDigestStart || holders != 1) {
        reason = { "withdraw key", {},
            std::to_string(holders) + " keys have digests that start with '" + std::string(digestStart)
                + "'; one must, by at least " + std::to_string(leastDigestStart) + " digits" };
        return std::nullopt;
    }
    auto intended = base;
    ++intended.version;
    for (auto& account : intended.clientAccounts)
        std::erase_if(account.keyDigests, [&](const std::string& digest) { return digest.starts_with(digestStart); });
    return intended;
}

} // namespace coriandergate::control
