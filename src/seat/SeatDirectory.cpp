#include "seat/SeatDirectory.h"

namespace coriandergate::seat {

auto SeatDirectory::adopt(const SeatMap& map) -> void
{
    const MutexLock lock(m_mutex);
    if (map.epoch <= m_map.epoch)
        return;
    m_ranks.resize(map.seats.size(), 0);
    for (std::size_t seat = 0; seat < map.seats.size(); ++seat) {
        const auto isKnown = seat < m_map.seats.size();
        if (!isKnown || m_map.seats[seat].epoch != map.seats[seat].epoch)
            m_ranks[seat] = 0;
    }
    m_map = map;
}

auto SeatDirectory::map() const -> SeatMap
{
    const MutexLock lock(m_mutex);
    return m_map;
}

auto SeatDirectory::seatOf(std::string_view key, std::uint32_t splitIndex) const -> std::optional<std::uint32_t>
{
    const MutexLock lock(m_mutex);
    if (m_map.seats.empty())
        return std::nullopt;
    return m_map.seatOf(key, splitIndex);
}

auto SeatDirectory::holder(std::uint32_t seat) const -> std::optional<DaemonIdentity>
{
    const MutexLock lock(m_mutex);
    if (seat >= m_map.seats.size())
        return std::nullopt;
    return *m_map.seats[seat].candidate(m_ranks[seat]);
}

auto SeatDirectory::markNotHolder(std::uint32_t seat, const DaemonIdentity& daemon) -> void
{
    const MutexLock lock(m_mutex);
    if (seat >= m_map.seats.size())
        return;
    const auto& assignment = m_map.seats[seat];
    // Several concurrent requests may fail at the same daemon; only the first moves on to the next candidate.
    if (*assignment.candidate(m_ranks[seat]) == daemon)
        m_ranks[seat] = (m_ranks[seat] + 1) % (static_cast<std::uint32_t>(assignment.grantors.size()) + 1);
}

} // namespace coriandergate::seat
