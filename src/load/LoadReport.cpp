#include "load/LoadReport.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <nlohmann/json.hpp>
#include <sstream>

namespace coriandergate::load {

namespace {

    constexpr std::array<double, 5> reportedQuantiles { 0.5, 0.9, 0.99, 0.999, 1 };

} // namespace

auto LoadReport::add(MonotonicDuration latency, const std::string& outcome) -> void
{
    m_latenciesUs.push_back(std::chrono::duration_cast<std::chrono::microseconds>(latency).count());
    ++m_outcomeCounts[outcome];
}

auto LoadReport::quantile(double fraction) const -> std::chrono::microseconds
{
    if (m_latenciesUs.empty())
        return {};
    auto sorted = m_latenciesUs;
    const auto rank = static_cast<std::size_t>(std::ceil(fraction * static_cast<double>(sorted.size())));
    const auto index = std::min(rank > 0 ? rank - 1 : 0, sorted.size() - 1);
    std::nth_element(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(index), sorted.end());
    return std::chrono::microseconds(sorted[index]);
}

auto LoadReport::toText() const -> std::string
{
    std::ostringstream text;
    text << "requests " << requests() << '\n';
    for (const auto fraction : reportedQuantiles)
        text << "latency p" << fraction * 100 << " " << quantile(fraction).count() << " us\n";
    for (const auto& [outcome, count] : m_outcomeCounts)
        text << "ended " << outcome << " " << count << '\n';
    return text.str();
}

auto LoadReport::toJson() const -> std::string
{
    nlohmann::json document { { "requests", requests() }, { "endings", m_outcomeCounts } };
    for (const auto fraction : reportedQuantiles) {
        std::ostringstream name;
        name << "p" << fraction * 100 << "Microseconds";
        document[name.str()] = quantile(fraction).count();
    }
    return document.dump(2);
}

auto LoadReport::toSvg() const -> std::string
{
    constexpr int width = 640;
    constexpr int height = 360;
    constexpr int margin = 50;
    constexpr int pointCount = 100;
    constexpr double minimumTail = 1e-4; // the x axis ends at the quantile 1 - minimumTail
    const auto maximumExponent = std::log10(std::max<double>(10, static_cast<double>(quantile(1).count())));
    std::ostringstream svg;
    svg << "<svg xmlns='http://www.w3.org/2000/svg' width='" << width << "' height='" << height
        << "' font-family='sans-serif' font-size='12'><rect width='100%' height='100%' fill='white'/>";
    svg << "<text x='" << margin << "' y='20'>latency in microseconds (log) by quantile</text><polyline fill='none' "
        << "stroke='steelblue' stroke-width='2' points='";
    for (int i = 0; i <= pointCount; ++i) {
        const auto fraction = 1 - std::pow(minimumTail, static_cast<double>(i) / pointCount);
        const auto relativeHeight
            = std::log10(std::max<double>(1, static_cast<double>(quantile(fraction).count()))) / maximumExponent;
        svg << margin + (width - 2 * margin) * i / pointCount << ','
            << height - margin - relativeHeight * (height - 2 * margin) << ' ';
    }
    svg << "'/>";
    for (const auto fraction : { 0.0, 0.9, 0.99, 0.999 }) {
        const auto relativeWidth = fraction == 0 ? 0 : std::log10(1 - fraction) / std::log10(minimumTail);
        svg << "<text x='" << margin + relativeWidth * (width - 2 * margin) << "' y='" << height - margin + 20 << "'>"
            << fraction << "</text>";
    }
    for (int exponent = 0; exponent <= static_cast<int>(maximumExponent); ++exponent)
        svg << "<text x='5' y='" << height - margin - exponent / maximumExponent * (height - 2 * margin) << "'>1e"
            << exponent << "</text>";
    svg << "</svg>\n";
    return svg.str();
}

} // namespace coriandergate::load
