#include "log/RequestTrace.h"

#include <catch2/catch.hpp>

namespace coriandergate::log {

TEST_CASE("a request's story holds its own lines and those of its calls, in the order of their time")
{
    RequestTrace story("abc");
    story.add("one", "time=12.500 level=info event=CG1900 text=x request=abc status=200");
    story.add("two", "time=12.250 level=info event=CG1911 text=x request=abc outcome=answered");
    story.add("two", "time=12.300 level=info event=CG1900 text=x request=abc.7 status=200");
    story.add("two", "time=12.100 level=info event=CG1900 text=x request=abcd status=200");
    story.add("two", "time=12.100 level=info event=CG1923 text=x version=7");
    story.add("two", "no log line request=abc");
    const auto lines = story.lines();
    REQUIRE(lines.size() == 3);
    CHECK(lines[0].source == "two");
    CHECK(lines[1].text.find("abc.7") != std::string::npos);
    CHECK(lines[2].time == Approx(12.5));
}

TEST_CASE("a prefix of whoever gathered the log names the source")
{
    RequestTrace story("abc");
    story.add("all", "  -7.8 host-3 time=1.0 level=info event=CG1900 text=x request=abc");
    REQUIRE(story.lines().size() == 1);
    CHECK(story.lines()[0].source == "host-3");
}

} // namespace coriandergate::log
