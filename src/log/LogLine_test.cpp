#include "log/LogLine.h"

#include <catch2/catch.hpp>

namespace coriandergate::log {

using namespace std::chrono_literals;

TEST_CASE("a log line gives its time, event, fields and the source that a collector wrote before it")
{
    const auto line = LogLine::parse(
        R"(  -7.8 host-3 time=12.345 level=info event=CG1900 text="a b" why="said \"no\" = no" ms=7 account="" load=1,0,4)");
    REQUIRE(line);
    CHECK(line->source() == "host-3");
    CHECK(line->time() == 12'345ms);
    CHECK(line->event() == 1900);
    CHECK(line->field("text") == "a b");
    CHECK(line->field("why") == R"(said \"no\" = no)");
    CHECK(line->number("ms", -1) == 7);
    CHECK(line->field("account").empty());
    CHECK(line->field("load") == "1,0,4");
    CHECK(line->number("load", -1) == -1);
    CHECK(line->number("none", 9) == 9);
    CHECK(line->field("none").empty());
}

TEST_CASE("a value that ends with a backslash ends at its own quote")
{
    const auto line = LogLine::parse(R"(time=1 event=CG1900 why="a\\" ms=3)");
    REQUIRE(line);
    CHECK(line->field("why") == R"(a\\)");
    CHECK(line->number("ms", 0) == 3);
}

TEST_CASE("odd lines are no log lines")
{
    for (const auto* text : { "", " ", "no log line request=abc", "time=", "time=x event=CG1900", "time=1 level=info",
             "time=1 event=1900", "time=1 event=CG", "time=1 event=CG19x", "time=nan event=CG1900",
             "time=1e300 event=CG1900", R"(time=1 event=CG1900 why="no end)", R"(time=1 event=CG1900 why="no end\")",
             "event=CG1900", "level=warning text=\"log lines dropped\" count=3" }) {
        CAPTURE(text);
        CHECK_FALSE(LogLine::parse(text));
    }
}

TEST_CASE("a line with more fields than are kept is read as far as they are")
{
    std::string text = "time=1 event=CG1900";
    for (int i = 0; i < 100; ++i)
        text += " f" + std::to_string(i) + "=" + std::to_string(i);
    const auto line = LogLine::parse(text);
    REQUIRE(line);
    CHECK(line->number("f20", -1) == 20);
    CHECK(line->number("f99", -1) == -1);
}

} // namespace coriandergate::log
