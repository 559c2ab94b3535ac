// Versions of rows and of the whole store, ordered over the store's eras.
//
// A store that was restored from an older copy gives versions out again for other content, and its era rises by one.
// Inside the daemon a version therefore has the era in its upper bits: every version of a later era is greater than all
// versions of the earlier ones. Only what speaks to the store or to another daemon splits it.
//
//   const auto version = makeVersion(1, 17);
//   request.after = numberOf(version); // 17
#pragma once

#include <cstdint>

namespace coriandergate::fleet {

// Bits of the number that the store gives out: 1,000 transactions per second for 8,000 years.
inline constexpr int versionNumberBits = 48;
inline constexpr std::uint64_t maximumVersionNumber = (std::uint64_t { 1 } << versionNumberBits) - 1;
inline constexpr std::uint64_t maximumEra = (std::uint64_t { 1 } << (64 - versionNumberBits)) - 1;

// makeVersion() combines an era up to maximumEra and a number up to maximumVersionNumber. Thread-safe, as are all
// functions here.
[[nodiscard]] constexpr auto makeVersion(std::uint64_t era, std::uint64_t number) -> std::uint64_t
{
    return era << versionNumberBits | number;
}

// eraOf() returns the era of `version`: how often the store had been restored; 0 for a store that doesn't tell.
[[nodiscard]] constexpr auto eraOf(std::uint64_t version) -> std::uint64_t { return version >> versionNumberBits; }

// numberOf() returns the number that the store gave out; 0 stands for no row, or for a table's beginning, in any era.
[[nodiscard]] constexpr auto numberOf(std::uint64_t version) -> std::uint64_t { return version & maximumVersionNumber; }

} // namespace coriandergate::fleet
