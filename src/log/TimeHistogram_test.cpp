#include "log/TimeHistogram.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

namespace coriandergate::log {

using namespace std::chrono_literals;

TEST_CASE("a time histogram's quantiles are within 2% of the sorted times, and its mean is exact")
{
    std::mt19937 random(1);
    std::lognormal_distribution<> draw(5, 2);
    TimeHistogram whole;
    TimeHistogram left;
    TimeHistogram right;
    std::vector<std::int64_t> times;
    for (int i = 0; i < 20'000; ++i) {
        times.push_back(static_cast<std::int64_t>(draw(random)));
        whole.add(std::chrono::milliseconds(times.back()));
        (i % 2 == 0 ? left : right).add(std::chrono::milliseconds(times.back()));
    }
    left.merge(right);
    std::sort(times.begin(), times.end());
    for (const auto fraction : { 0.01, 0.5, 0.95, 0.99, 1.0 }) {
        const auto exact = static_cast<double>(times[static_cast<std::size_t>(fraction * 20'000) - 1]);
        CAPTURE(fraction, exact);
        CHECK(static_cast<double>(whole.quantile(fraction).count()) == Approx(exact).epsilon(0.02).margin(0.1));
        CHECK(left.quantile(fraction) == whole.quantile(fraction));
    }
    std::int64_t sum = 0;
    for (const auto time : times)
        sum += time;
    CHECK(whole.mean().count() == sum / 20'000);
    CHECK(left.mean() == whole.mean());
}

TEST_CASE("a time histogram takes times outside its range")
{
    TimeHistogram times;
    CHECK(times.quantile(0.5) == 0ms);
    CHECK(times.mean() == 0ms);
    times.add(-5ms);
    CHECK(times.quantile(1) == 0ms);
    times.add(std::chrono::milliseconds::max());
    CHECK(times.quantile(1) > 20 * 24h);
    CHECK(times.count() == 2);
}

} // namespace coriandergate::log
