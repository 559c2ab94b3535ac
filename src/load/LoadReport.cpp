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

auto LoadReport::add(MonotonicDuration latency, const std::string& ending) -> void
{
    m_latencies.push_back(std::chrono::duration_cast<std::chrono::microseconds>(latency).count());
    ++m_endings[ending];
}

auto LoadReport::quantile(double fraction) const -> std::chrono::microseconds
{
    if (m_latencies.empty())
        return {};
    auto sorted = m_latencies;
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
    for (const auto& [ending, count] : m_endings)
        text << "ended " << ending << " " << count << '\n';
    return text.str();
}

auto LoadReport::toJson() const -> std::string
{
    nlohmann::json document { { "requests", requests() }, { "endings", m_endings } };
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
    constexpr int steps = 100;
    constexpr double smallest = 1e-4; // the plot's right end is the quantile 1 - smallest
    const auto top = std::log10(std::max<double>(10, static_cast<double>(quantile(1).count())));
    std::ostringstream svg;
    svg << "<svg xmlns='http://www.w3.org/2000/svg' width='" << width << "' height='" << height
        << "' font-family='sans-serif' font-size='12'><rect width='100%' height='100%' fill='white'/>";
    svg << "<text x='" << margin << "' y='20'>latency in microseconds (log) by quantile</text><polyline fill='none' "
        << "stroke='steelblue' stroke-width='2' points='";
    for (int i = 0; i <= steps; ++i) {
        const auto fraction = 1 - std::pow(smallest, static_cast<double>(i) / steps);
        const auto level = std::log10(std::max<double>(1, static_cast<double>(quantile(fraction).count()))) / top;
        svg << margin + (width - 2 * margin) * i / steps << ',' << height - margin - level * (height - 2 * margin)
            << ' ';
    }
    svg << "'/>";
    for (const auto fraction : { 0.0, 0.9, 0.99, 0.999 }) {
        const auto share = fraction == 0 ? 0 : std::log10(1 - fraction) / std::log10(smallest);
        svg << "<text x='" << margin + share * (width - 2 * margin) << "' y='" << height - margin + 20 << "'>"
            << fraction << "</text>";
    }
    for (int power = 0; power <= static_cast<int>(top); ++power)
        svg << "<text x='5' y='" << height - margin - power / top * (height - 2 * margin) << "'>1e" << power
            << "</text>";
    svg << "</svg>\n";
    return svg.str();
}

} // namespace coriandergate::load
