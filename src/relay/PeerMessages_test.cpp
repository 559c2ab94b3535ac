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

} // namespace coriandergate::relay
