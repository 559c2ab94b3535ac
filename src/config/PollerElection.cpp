#include "config/PollerElection.h"

#include "base/Hash.h"

#include <algorithm>
#include <utility>

namespace coriandergate::config {

namespace {

    constexpr std::uint64_t pollerSeed = 0x706f6c6c; // keeps this ranking apart from others over the same addresses

    auto rankOf(std::string_view address) -> std::pair<std::uint64_t, std::string_view>
    {
        return { hashOf(address, pollerSeed), address };
    }

} // namespace

auto isPoller(std::string_view self, std::span<const std::string> members, std::size_t count) -> bool
{
    const auto own = rankOf(self);
    const auto ahead = std::count_if(
        members.begin(), members.end(), [&own](const std::string& member) { return rankOf(member) > own; });
    return static_cast<std::size_t>(ahead) < count;
}

} // namespace coriandergate::config
