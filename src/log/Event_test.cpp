#include "log/Event.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <set>
#include <sstream>

using namespace coriandergate::log;

TEST_CASE("docs/EVENTS.md matches the event catalogue in the code")
{
    std::ifstream file(std::string(CORIANDERGATE_SOURCE) + "/docs/EVENTS.md");
    std::stringstream text;
    text << file.rdbuf();
    CHECK(text.str() == catalogueText());
}

TEST_CASE("event numbers are unique")
{
    std::set<int> numbers;
    for (const auto& event : eventCatalogue())
        CHECK(numbers.insert(event.number).second);
    CHECK(numbers.size() > 1);
}
