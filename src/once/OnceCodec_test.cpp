#include "once/OnceCodec.h"

#include <catch2/catch.hpp>
#include <random>

using namespace coriandergate;
using namespace coriandergate::once;
using namespace std::chrono_literals;

TEST_CASE("messages are decoded as they were encoded, and ages are rounded down")
{
    const MonotonicTime now(100h);
    const DaemonIdentity owner { "10.0.0.1:7101", ~std::uint64_t { 0 } };
    const AttemptRecord record { { 1, 2 }, { 3, 4 }, owner, 5, 6,
        Ran { 201, StoredResponse { "a/b", std::string("\xff\0", 2) } }, now - 1500us };
    Error reason;
    const auto decoded = decodeRecord(encodeRecord(record, now), now, reason);
    REQUIRE(decoded);
    CHECK(decoded->key == record.key);
    CHECK(decoded->attempt == record.attempt);
    CHECK(decoded->owner == owner);
    CHECK(decoded->outcome == record.outcome);
    CHECK(decoded->openedAt == now - 1ms);
    const RebuildReport report { owner, now - 1h, { record }, { { owner, "dc", now - 1s } }, { owner } };
    const auto decodedReport = decodeReport(encodeReport(report, now), now, reason);
    REQUIRE(decodedReport);
    CHECK(decodedReport->records.size() == 1);
    CHECK(decodedReport->lost[0].lostAt == now - 1s);
    CHECK(decodedReport->takenOverFrom[0] == owner);
    for (const auto& response : { PermitResponse { Permit { 7, 1500ms } },
             PermitResponse { InProgress { { 3, 4 }, owner } }, PermitResponse { AlreadyRan { Ran { 500, {} } } },
             PermitResponse { FingerprintMismatch {} }, PermitResponse { OutcomeUnknown {} },
             PermitResponse { PermitRefused { PermitRefused::Reason::TableFull, 2ms } } }) {
        const auto bytes = encodePermitResponse(response);
        const auto decodedResponse = decodePermitResponse(bytes, reason);
        REQUIRE(decodedResponse);
        CHECK(encodePermitResponse(*decodedResponse) == bytes);
        CHECK(decodedResponse->index() == response.index());
    }
    const auto label = decodeLabel(encodeLabel({ { 1, 2 }, { 3, ~std::uint64_t { 0 } }, 5 }), reason);
    REQUIRE(label);
    CHECK(label->attempt.number == ~std::uint64_t { 0 });
}

TEST_CASE("malformed messages are rejected with a reason", "[property]")
{
    const MonotonicTime now {};
    std::mt19937_64 random(5);
    for (int round = 0; round < 5000; ++round) {
        auto bytes = encodePermitRequest({ { random(), random() }, { 1, 2 }, { "a", 1 }, 3 });
        bytes[random() % bytes.size()] = static_cast<char>(random());
        bytes.resize(random() % (bytes.size() + 1));
        Error reason;
        CHECK((decodePermitRequest(bytes, reason) || !reason.reason.empty()));
        CHECK_FALSE(decodeReport(bytes, now, reason));
        CHECK_FALSE(decodeLabel(bytes, reason));
    }
    Error reason;
    for (const auto* text : { "", "1.2.3.4", "1.2.3.4.5.6", "1.2.3.4.", "1.2..4.5", "g.2.3.4.5", "1.2.3.4.5 " })
        CHECK_FALSE(decodeLabel(text, reason));
}
