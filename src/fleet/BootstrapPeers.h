// Decides where a starting daemon copies the configuration and the list of hosts from.
//
// Load pattern: a whole region of daemons starts at once, over one narrow link to the store. If each of them reads both
// tables from the store, the link is busy for longer than the requests may take, and their repetitions keep it so.
// Therefore the first hosts of the region by key read from the store, the next ones copy from these, and all others
// copy from the latter. Every daemon finds its place with one small read: the first rows of its region.
//
//   BootstrapPeers peers("far/03f2-10.1.0.11", addressesByKey, {});
//   if (const auto address = peers.choose(random)) copyFrom(*address); else readFromStore();
//   peers.recordFailure(*address);
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace coriandergate::fleet {

// BootstrapPeers is not thread-safe.
class BootstrapPeers {
public:
    struct Options {
        std::size_t storeReaders = 2; // so that one may be unreachable
        std::size_t attempts = 3; // peers tried before the store is read
    };
    struct Peer {
        std::string key; // of the host's row
        std::string address; // of its daemon
    };

    // BootstrapPeers() takes the first hosts of the region, ordered by key, and the key of this host.
    BootstrapPeers(const std::string& ownKey, const std::vector<Peer>& firstOfRegion, const Options& options);

    // choose() returns the address of a peer to copy from, or nothing if the store is to be read. `random` is any
    // number and selects among equal peers.
    [[nodiscard]] auto choose(std::uint64_t random) const -> std::optional<std::string>;

    // recordFailure() excludes a peer that had no copy in time or can't be reached.
    auto recordFailure(const std::string& address) -> void;

private:
    std::vector<std::string> m_candidates;
    std::size_t m_attemptsLeft;
};

} // namespace coriandergate::fleet
