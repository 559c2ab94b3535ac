// Finds the client account of a key among all accounts of one configuration.
//
// Build one per accepted configuration and share it between threads; it never changes.
//
//   const KeyIndex keys(configuration);
//   const ClientAccount* account = keys.accountForKey(keyFromHeader);
//   if (!account)
//       refuse();
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace coriandergate::config {

struct ClientAccount;
struct Configuration;

// KeyIndex is immutable and keeps its configuration alive.
class KeyIndex {
public:
    explicit KeyIndex(std::shared_ptr<const Configuration> configuration);

    // accountForKey() is the account that holds `key`, or null. The time it takes tells at most whether the first bits
    // of the key's digest are those of some account; the digests themselves are compared in constant time. The pointer
    // lives as long as the index. Safe from any thread.
    [[nodiscard]] auto accountForKey(std::string_view key) const -> const ClientAccount*;

    // accountForDigest() is accountForKey() for a digest made by digestOfKey(). Safe from any thread.
    [[nodiscard]] auto accountForDigest(std::string_view digest) const -> const ClientAccount*;

private:
    struct Entry {
        std::uint64_t bits; // the first 64 bits of the digest
        const std::string* digest;
        const ClientAccount* clientAccount;
    };

    std::shared_ptr<const Configuration> m_configuration;
    std::vector<Entry> m_entries; // sorted by bits
};

} // namespace coriandergate::config
