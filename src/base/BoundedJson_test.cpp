#include "base/BoundedJson.h"

#include "base/Error.h"

#include <catch2/catch.hpp>

namespace coriandergate {

using nlohmann::json;

namespace {

    auto toCbor(const json& value) -> std::string
    {
        const auto bytes = json::to_cbor(value);
        return { bytes.begin(), bytes.end() };
    }

    auto nested(std::size_t depth) -> std::string { return std::string(depth, '[') + std::string(depth, ']'); }

} // namespace

TEST_CASE("valid documents are parsed to the same value in both formats")
{
    const json value = { { "a", { 1, -2.5, "text", nullptr, true } }, { "b", { { "c", json::array() } } } };
    Error reason;
    CHECK(parseBoundedJson(value.dump(), reason) == value);
    CHECK(parseBoundedCbor(toCbor(value), reason) == value);
    CHECK(parseBoundedJson(nested(maximumJsonDepth), reason));
}

// Guards against a message of a peer that ends the daemon: the library reads these strings by recursion.
TEST_CASE("CBOR strings of unknown length are malformed input, however deep they are nested")
{
    const std::string head = GENERATE("\x7f", "\x5f", "\x7f\x61x", "\x5f\x41x");
    const std::size_t depth = GENERATE(1, 100, 1'000'000);
    std::string bytes = "\x81";
    for (std::size_t i = 0; i < depth; ++i)
        bytes += head;
    Error reason;
    CHECK_FALSE(parseBoundedCbor(bytes + std::string(depth, '\xff'), reason));
    CHECK(reason.reason == "a string of unknown length");
    // The same bytes within a string are content.
    const json value = { std::string("\x7f\x7f"), json::binary({ 0x5f, 0x5f }), 0x7f, 0x5f5f5f5f, 1.5 };
    CHECK(parseBoundedCbor(toCbor(value), reason) == value);
}

// Guards against a row or message of another writer that ends every daemon which reads it.
TEST_CASE("documents nested too deeply are malformed input")
{
    const std::size_t depth = GENERATE(maximumJsonDepth + 1, 100'000, 5'000'000);
    Error reason;
    CHECK_FALSE(parseBoundedJson(nested(depth), reason));
    CHECK(reason.reason.find("levels deep") != std::string::npos);
    reason = {};
    CHECK_FALSE(parseBoundedCbor(std::string(depth, '\x81'), reason));
    CHECK(reason.reason.find("levels deep") != std::string::npos);
    reason = {};
    std::string objects;
    for (std::size_t i = 0; i < depth; ++i)
        objects += "{\"a\":";
    CHECK_FALSE(parseBoundedJson(objects, reason));
    CHECK(reason.reason.find("levels deep") != std::string::npos);
}

TEST_CASE("malformed and truncated documents are rejected with a reason")
{
    const std::string text = GENERATE("", "{", "[1,]", "{\"a\" 1}", "nul", "[1] 2", "\xff\xfe");
    Error reason;
    CHECK_FALSE(parseBoundedJson(text, reason));
    CHECK_FALSE(reason.reason.empty());
}

TEST_CASE("truncated CBOR and containers of an impossible size are rejected with a reason")
{
    const auto whole = toCbor(json::array({ "text", 7, json::object({ { "a", 1 } }) }));
    for (std::size_t length = 0; length < whole.size(); ++length) {
        Error reason;
        CHECK_FALSE(parseBoundedCbor(whole.substr(0, length), reason));
        CHECK_FALSE(reason.reason.empty());
    }
    Error reason;
    CHECK_FALSE(parseBoundedCbor("\x9b\xff\xff\xff\xff\xff\xff\xff\xff", reason)); // 2^64 - 1 elements
    CHECK_FALSE(parseBoundedCbor("\x7b\x7f\xff\xff\xff\xff\xff\xff\xff", reason)); // a text of 2^63 - 1 bytes
    CHECK_FALSE(parseBoundedCbor(whole + '\x01', reason));
}

} // namespace coriandergate
