#include "fleet/HostRecord.h"

#include "base/Error.h"
#include "fleet/HostDirectory.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

namespace coriandergate::fleet {

using nlohmann::json;
using namespace std::chrono_literals;

namespace {

    auto makeRecord() -> HostRecord
    {
        return { .peerAddress = "10.1.0.11:7780",
            .locality = { "west", "west-a" },
            .service = "ledger",
            .targetId = "i-1",
            .targetStartedAt = 1'765'000'000'000,
            .slots = 13,
            .state = HostRecord::State::Serving,
            .joinedAt = 1500ms };
    }

    // The fields of a valid row in their order, one of which is replaced.
    auto encodeWith(std::size_t field, const json& value) -> std::string
    {
        auto fields = json::array(
            { "10.1.0.11:7780", "west", "west-a", "ledger", "i-1", 1'765'000'000'000, 13, "serving", 1500 });
        fields.at(field) = value;
        const auto bytes = json::to_cbor(fields);
        return { bytes.begin(), bytes.end() };
    }

    auto isRejected(const std::string& bytes) -> bool
    {
        Error reason;
        const bool isDecoded = decodeHostRecord("west/1", bytes, reason).has_value();
        CHECK((isDecoded || (reason.peer == "west/1" && !reason.reason.empty())));
        return !isDecoded;
    }

} // namespace

TEST_CASE("every host record is decoded as it was encoded")
{
    CHECK(rc::check([](std::uint32_t startedAt, std::uint16_t slots, std::uint32_t joinedAt) {
        auto record = makeRecord();
        record.service = *rc::gen::string<std::string>();
        record.state
            = *rc::gen::element(HostRecord::State::NoTarget, HostRecord::State::Serving, HostRecord::State::Draining);
        record.targetStartedAt = startedAt;
        record.slots = slots;
        record.joinedAt = std::chrono::milliseconds(joinedAt);
        Error reason;
        RC_ASSERT(decodeHostRecord("west/1", encodeHostRecord(record), reason) == record);
    }));
}

TEST_CASE("a row of version 0.1.0 is read")
{
    const json row = { { "peer", "10.1.0.11:7780" }, { "region", "west" }, { "dataCentre", "west-a" },
        { "service", "ledger" }, { "target", "i-1" }, { "startedAt", 1'765'000'000'000 }, { "slots", 13 },
        { "state", "serving" }, { "joinedAt", 1500 }, { "later", { 1, 2 } } };
    Error reason;
    CHECK(decodeHostRecord("west/1", row.dump(), reason) == makeRecord());
}

// Guards against one odd entry of another writer that ends its readers, or stops them from following the others.
TEST_CASE("a row that is odd in any field is rejected with a reason")
{
    CHECK_FALSE(isRejected(encodeWith(6, 13)));
    const auto value = GENERATE(json(-1), json(1e300), json("13"), json(nullptr), json::array({ 13 }), json::object());
    const std::size_t field = GENERATE(5, 6, 8);
    CHECK(isRejected(encodeWith(field, value)));
    CHECK(isRejected(encodeWith(6, 4294967297U))); // 1 as a 32-bit number
    CHECK(isRejected(encodeWith(8, 18446744073709551615U)));
    const auto address = GENERATE(json("10.1.0.11:65536"), json("10.1.0.11:-1"), json("10.1.0.11"),
        json("10.1.0.256:80"), json("host:80"), json(""), json(7));
    CHECK(isRejected(encodeWith(0, address)));
    CHECK(isRejected(encodeWith(7, "melting")));
    CHECK(isRejected(encodeWith(7, 2)));
}

TEST_CASE("bytes that are no row are rejected with a reason")
{
    CHECK(isRejected(""));
    CHECK(isRejected("{"));
    CHECK(isRejected("{\"peer\": 7}"));
    CHECK(isRejected("\x80"));
    CHECK(isRejected(std::string(200'000, '\x81')));
    CHECK(isRejected("{\"peer\":" + std::string(200'000, '[')));
    const auto whole = encodeHostRecord(makeRecord());
    for (std::size_t length = 0; length < whole.size(); ++length)
        CHECK(isRejected(whole.substr(0, length)));
}

TEST_CASE("an odd row costs itself and no other row")
{
    HostDirectory directory;
    const auto faults = directory.apply(
        { { "west/1", encodeHostRecord(makeRecord()), 4, false }, { "west/2", std::string(200'000, '\x81'), 5, false },
            { "west/3", encodeWith(0, "10.1.0.12:99999"), 6, false },
            { "west/4", encodeHostRecord(makeRecord()), 7, false } },
        true);
    CHECK(faults.size() == 2);
    CHECK(directory.size() == 2);
}

TEST_CASE("the keys of a region are those in its range, and mix its data centres")
{
    const auto range = hostRowRange("west");
    for (const auto* address : { "10.1.0.11", "10.2.0.11", "10.3.200.1" }) {
        const auto key = hostRowKey("west", address);
        CHECK(key >= range.firstKey);
        CHECK(key < range.endKey);
        const auto other = hostRowKey("west-2", address);
        CHECK((other < range.firstKey || other >= range.endKey));
    }
    // Addresses of a data centre are consecutive; their keys are not.
    CHECK(hostRowKey("west", "10.1.0.11").substr(0, 9) != hostRowKey("west", "10.1.0.12").substr(0, 9));
}

} // namespace coriandergate::fleet
