#include "load/LoadReport.h"

#include <catch2/catch.hpp>

using namespace coriandergate;
using namespace coriandergate::load;

TEST_CASE("a load report returns exact quantiles and counts requests per outcome")
{
    LoadReport report;
    CHECK(report.quantile(0.99) == std::chrono::microseconds(0));
    for (int i = 100; i >= 1; --i)
        report.add(std::chrono::microseconds(i), i % 10 == 0 ? "503 not-run" : "200 ran");
    CHECK(report.requests() == 100);
    CHECK(report.quantile(0) == std::chrono::microseconds(1));
    CHECK(report.quantile(0.5) == std::chrono::microseconds(50));
    CHECK(report.quantile(0.99) == std::chrono::microseconds(99));
    CHECK(report.quantile(1) == std::chrono::microseconds(100));
    CHECK(report.outcomeCounts().at("503 not-run") == 10);
    CHECK(report.toJson().find("\"p99Microseconds\": 99") != std::string::npos);
    CHECK(report.toSvg().starts_with("<svg"));
}
