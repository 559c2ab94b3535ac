#include "dispatch/ResponseSizes.h"

#include <algorithm>

namespace coriandergate::dispatch {

namespace {

    constexpr double newestWeight = 0.1; // averages over about ten responses

} // namespace

auto ResponseSizes::record(const std::string& route, std::size_t bytes) -> void
{
    auto& mean = m_meanBytes[route];
    mean += newestWeight * (static_cast<double>(bytes) - mean);
}

auto ResponseSizes::distanceFactor(std::string_view route) const -> double
{
    const auto known = m_meanBytes.find(route);
    const double meanBytes = known == m_meanBytes.end() ? 0 : known->second;
    return std::min(m_options.maximumFactor, 1 + meanBytes / m_options.doublingBytes);
}

} // namespace coriandergate::dispatch
