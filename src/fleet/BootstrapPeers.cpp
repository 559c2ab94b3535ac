#include "fleet/BootstrapPeers.h"

#include <algorithm>

namespace coriandergate::fleet {

BootstrapPeers::BootstrapPeers(
    const std::string& ownKey, const std::vector<Peer>& firstOfRegion, const Options& options)
    : m_attemptsLeft(options.attempts)
{
    const auto readers = std::min(options.storeReaders, firstOfRegion.size());
    const auto own = std::find_if(
        firstOfRegion.begin(), firstOfRegion.end(), [&ownKey](const Peer& peer) { return peer.key == ownKey; });
    const auto ownPlace = static_cast<std::size_t>(own - firstOfRegion.begin());
    if (ownPlace < readers)
        return;
    const bool isAmongFirst = own != firstOfRegion.end();
    const bool copiesFromReaders = isAmongFirst || readers == firstOfRegion.size();
    const auto begin = firstOfRegion.begin() + static_cast<std::ptrdiff_t>(copiesFromReaders ? 0 : readers);
    const auto end
        = copiesFromReaders ? firstOfRegion.begin() + static_cast<std::ptrdiff_t>(readers) : firstOfRegion.end();
    std::transform(
        begin, end, std::back_inserter(m_candidates), [](const Peer& peer) -> std::string { return peer.address; });
}

auto BootstrapPeers::choose(std::uint64_t random) const -> std::optional<std::string>
{
    if (m_candidates.empty() || m_attemptsLeft == 0)
        return std::nullopt;
    return m_candidates[random % m_candidates.size()];
}

auto BootstrapPeers::recordFailure(const std::string& address) -> void
{
    std::erase(m_candidates, address);
    m_attemptsLeft -= m_attemptsLeft > 0 ? 1 : 0;
}

} // namespace coriandergate::fleet
