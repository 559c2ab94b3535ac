// The regions in which a request may be executed: anywhere, or only in those that its route and its client account
// name.
//
// Load pattern: requests whose data must not leave a region, also when the targets there are full, failing or cut off
// while others have room.
//
//   const auto homes = HomeRegions(route.homeRegions).intersection(HomeRegions(account.homeRegions));
//   if (homes.allows(target.locality.region)) ...
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace coriandergate::dispatch {

// HomeRegions is a value.
class HomeRegions {
public:
    // HomeRegions() without regions allows every region, also one that isn't known.
    HomeRegions() = default;
    explicit HomeRegions(const std::vector<std::string>& regions);

    // intersection() allows what both allow, which may be nothing.
    [[nodiscard]] auto intersection(const HomeRegions& other) const -> HomeRegions;

    // allows() returns whether a request may be executed in `region`. An empty region is one that isn't known.
    [[nodiscard]] auto allows(std::string_view region) const -> bool;

    [[nodiscard]] auto isAnywhere() const -> bool { return m_isAnywhere; }

    // toText() names the regions, sorted and separated by commas; empty for anywhere and for nowhere.
    [[nodiscard]] auto toText() const -> std::string;

    friend auto operator==(const HomeRegions&, const HomeRegions&) -> bool = default;

private:
    bool m_isAnywhere = true;
    std::vector<std::string> m_regions; // sorted, each once
};

} // namespace coriandergate::dispatch
