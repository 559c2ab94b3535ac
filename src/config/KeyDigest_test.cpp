#include "config/KeyDigest.h"

#include <catch2/catch.hpp>

using namespace coriandergate::config;

TEST_CASE("key digests are stable, hexadecimal and tell keys apart")
{
    const auto digest = digestOfKey("sangh-key-1");
    CHECK(digest.size() == 64);
    CHECK(digest.find_first_not_of("0123456789abcdef") == std::string::npos);
    CHECK(areDigestsEqual(digest, digestOfKey("sangh-key-1")));
    CHECK_FALSE(areDigestsEqual(digest, digestOfKey("sangh-key-2")));
    CHECK_FALSE(areDigestsEqual(digest, digest.substr(1)));
}
