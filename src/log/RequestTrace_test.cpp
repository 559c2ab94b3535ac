#include "log/RequestTrace.h"

#include <catch2/catch.hpp>

namespace coriandergate::log {

TEST_CASE("a request trace contains the lines of the request and of its calls in order of time")
{
    RequestTrace trace("abc");
    trace.add("one", "time=12.500 level=info event=CG1900 text=x request=abc status=200");
    trace.add("two", "time=12.250 level=info event=CG1911 text=x request=abc outcome=answered");
    trace.add("two", "time=12.300 level=info event=CG1900 text=x request=abc.7 status=200");
    trace.add("two", "time=12.100 level=info event=CG1900 text=x request=abcd status=200");
    trace.add("two", "time=12.100 level=info event=CG1923 text=x version=7");
    trace.add("two", "no log line request=abc");
    const auto lines = trace.lines();
    REQUIRE(lines.size() == 3);
    CHECK(lines[0].source == "two");
    CHECK(lines[1].text.find("abc.7") != std::string::npos);
    CHECK(lines[2].time == Approx(12.5));
}

TEST_CASE("the source is the last word of the prefix that a log collector adds")
{
    RequestTrace trace("abc");
    trace.add("all", "  -7.8 host-3 time=1.0 level=info event=CG1900 text=x request=abc");
    REQUIRE(trace.lines().size() == 1);
    CHECK(trace.lines()[0].source == "host-3");
}

} // namespace coriandergate::log
