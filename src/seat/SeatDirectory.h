// Finds the daemon to which requests for a seat's holder are sent.
//
// The seat map names the holder, but a successor may have taken over since. The directory starts with the daemon from
// the map. When that doesn't respond or says that it doesn't hold the seat, the directory moves on to the next
// candidate, and it stays with the first one that responds as holder.
//
//   const auto holder = directory.holder(seat);
//   if (!hasResponded)
//       directory.markNotHolder(seat, *holder);
#pragma once

#include "base/DaemonIdentity.h"
#include "base/Mutex.h"
#include "seat/SeatMap.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace coriandergate::seat {

// SeatDirectory is safe from any thread.
class SeatDirectory {
public:
    // adopt() replaces the map by `map` if that is newer.
    auto adopt(const SeatMap& map) -> void;

    // map() is the newest seat map that this daemon knows.
    [[nodiscard]] auto map() const -> SeatMap;

    // seatOf() is the index of the seat of `key`, or nothing while no map is known. See SeatMap::seatOf().
    [[nodiscard]] auto seatOf(std::string_view key, std::uint32_t splitIndex = 0) const -> std::optional<std::uint32_t>;

    // holder() is the daemon that most likely holds `seat`, or nothing for an unknown seat.
    [[nodiscard]] auto holder(std::uint32_t seat) const -> std::optional<DaemonIdentity>;

    // markNotHolder() records that `daemon` did not respond to a request for `seat`, or does not hold it.
    auto markNotHolder(std::uint32_t seat, const DaemonIdentity& daemon) -> void;

private:
    mutable Mutex m_mutex;
    SeatMap m_map GUARDED_BY(m_mutex);
    std::vector<std::uint32_t> m_ranks GUARDED_BY(m_mutex); // of the candidate in use, by seat
};

} // namespace coriandergate::seat
