#include "relay/PeerMessages.h"

#include "base/Error.h"
#include "http/CborMessage.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <limits>

namespace coriandergate::relay {

using namespace std::chrono_literals;

TEST_CASE("the limit of arrivals travels beside the load report, which older daemons read as before")
{
    const TargetLoadReport report { .load = { 3, 1, 10 }, .rejectionRate = 0.25, .arrivals = { { 15, 4 } } };
    CHECK(encodeLoadReport(report) == "3,1,10,25");
    const auto load = decodeLoadReport(encodeLoadReport(report));
    REQUIRE(load);
    CHECK_FALSE(load->nextProbeIn);
    CHECK_FALSE(load->arrivals);
    CHECK(encodeArrivals(*report.arrivals) == "15,4");
    CHECK(decodeArrivals("15,4") == report.arrivals);
    for (const auto* text : { "", "15", "15,", ",4", "15,4,1", "15, 4", "-1,4", "a,b" })
        CHECK_FALSE(decodeArrivals(text));
}

TEST_CASE("a reservation carries the client account, which older daemons don't send and don't read")
{
    ReserveRequest message { .requestId = "r", .service = "ledger", .priority = 2, .maximumWait = 700ms };
    message.clientAccount = "shop";
    message.accountWeight = 2.5;
    const auto decode = [](const std::string& request) {
        Error reason;
        return decodeReserveRequest(request.substr(request.find("\r\n\r\n") + 4), reason);
    };
    const auto decoded = decode(encodeReserveRequest(message));
    REQUIRE(decoded);
    CHECK(decoded->clientAccount == "shop");
    CHECK(decoded->accountWeight == 2.5);
    CHECK(decoded->maximumWait == 700ms);

    auto fields = nlohmann::json::array({ "r", "ledger", 2, true, 500, 700, false, true });
    Error reason;
    const auto older = decodeReserveRequest(http::cborBytes(fields), reason);
    REQUIRE(older);
    CHECK(older->clientAccount.empty());
    CHECK(older->accountWeight == 1);
    CHECK(older->acceptsFailingTarget);

    fields.push_back(std::string(100000, 'a'));
    for (const auto weight : { 0.0, -1.0, 1e300, std::numeric_limits<double>::infinity(), std::nan("") }) {
        auto extreme = fields;
        extreme.push_back(weight);
        const auto bounded = decodeReserveRequest(http::cborBytes(extreme), reason);
        REQUIRE(bounded);
        CHECK(bounded->clientAccount.size() == 256);
        CHECK(bounded->accountWeight > 0);
        CHECK(bounded->accountWeight <= 1e6);
    }
}

// Guards against sums of such a time with a clock's, which overflowed: a target sends one in a header.
TEST_CASE("times beyond the range of a message are malformed, in headers and in bodies")
{
    CHECK(decodeRetryAfter("1500") == 1500ms);
    for (const auto* text : { "-1", "9223372036854775807", "630720000001", "1e3", "" })
        CHECK_FALSE(decodeRetryAfter(text));
    CHECK(decodeLoadReport("3,1,8,25,900")->nextProbeIn == 900ms);
    CHECK(decodeLoadReport("3,1,8,100")->rejectionRate == 1);
    for (const auto* text : { "3,1,8,25,9223372036854775807", "3,1,8,25,18446744073709551615", "3,1,8,101" })
        CHECK_FALSE(decodeLoadReport(text));
    const nlohmann::json time = GENERATE(nlohmann::json(9223372036854775807), nlohmann::json(-9223372036854775807),
        nlohmann::json(1e300), nlohmann::json(1.5), nlohmann::json("1"));
    CAPTURE(time);
    Error reason;
    CHECK_FALSE(decodeReserveRequest(http::cborBytes({ "id-1", "ledger", 1, true, time, 200, false, false }), reason));
    CHECK_FALSE(reason.reason.empty());
    CHECK_FALSE(
        decodeReserveRequest(http::cborBytes({ "id-1", "ledger", time, true, 800, 200, false, false }), reason));
    CHECK(decodeReserveRequest(http::cborBytes({ "id-1", "ledger", 1, true, -800, 200, false, false }), reason));
}

TEST_CASE("calls per request that are no amount are skipped")
{
    const auto calls = decodeCallsPerRequest("stock=1.50,bank=inf,cards=nan,mail=-1,ledger=0.25,=,x");
    CHECK(calls == dispatch::RetryBudget::CallsPerRequest { { "stock", 1.5 }, { "ledger", 0.25 } });
}

} // namespace coriandergate::relay
