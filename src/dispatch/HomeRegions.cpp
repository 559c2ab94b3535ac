#include "dispatch/HomeRegions.h"

#include <algorithm>
#include <iterator>

namespace coriandergate::dispatch {

HomeRegions::HomeRegions(const std::vector<std::string>& regions)
    : m_isAnywhere(regions.empty())
    , m_regions(regions)
{
    std::sort(m_regions.begin(), m_regions.end());
    m_regions.erase(std::unique(m_regions.begin(), m_regions.end()), m_regions.end());
}

auto HomeRegions::intersection(const HomeRegions& other) const -> HomeRegions
{
    if (m_isAnywhere)
        return other;
    if (other.m_isAnywhere)
        return *this;
    HomeRegions result;
    result.m_isAnywhere = false;
    std::set_intersection(m_regions.begin(), m_regions.end(), other.m_regions.begin(), other.m_regions.end(),
        std::back_inserter(result.m_regions));
    return result;
}

auto HomeRegions::allows(std::string_view region) const -> bool
{
    return m_isAnywhere || std::find(m_regions.begin(), m_regions.end(), region) != m_regions.end();
}

auto HomeRegions::toText() const -> std::string
{
    std::string text;
    for (const auto& region : m_regions)
        text += (text.empty() ? "" : ",") + region;
    return text;
}

} // namespace coriandergate::dispatch
