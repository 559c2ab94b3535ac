#include "base/Error.h"

#include <catch2/catch.hpp>

using namespace coriandergate;

TEST_CASE("an error names its step, its peer and its reason")
{
    CHECK(Error { "connect", "127.0.0.1:80", "refused" }.toText() == "connect (127.0.0.1:80): refused");
    CHECK(Error { "start", "", "no settings" }.toText() == "start: no settings");
}
