#include "relay/RetryBorrower.h"

#include "http/Exchange.h"
#include "net/HttpServer.h"
#include "testing/EntryFixture.h"
#include "testing/RunUntil.h"

#include <catch2/catch.hpp>

namespace coriandergate::relay {

using namespace std::chrono_literals;

namespace {

    // Lender responds with `status` and records the requests it received.
    struct Lender {
        explicit Lender(boost::asio::io_context& io)
            : server(io, {}, [this](std::shared_ptr<http::Exchange> exchange) {
                Error reason;
                requests.push_back(decodeBorrowRequest(exchange->request().body, reason).value_or(BorrowRequest {}));
                exchange->answer(http::makeAnswer(status, "text/plain", ""));
            })
        {
            Error reason;
            REQUIRE(server.listen("127.0.0.1:0", reason));
        }

        int status = 200;
        std::vector<BorrowRequest> requests;
        net::HttpServer server;
    };

    // An entry, two other hosts in its data centre and one in another region.
    struct Entry : testing::EntryFixture {
        Entry()
        {
            for (int i = 0; i < 2; ++i)
                lenders.push_back(std::make_unique<Lender>(io));
            directory.apply({ testing::makeHostRow("self", 1, s_locality),
                                testing::makeHostRow("a", lenders[0]->server.port(), s_locality),
                                testing::makeHostRow("b", lenders[1]->server.port(), s_locality),
                                testing::makeHostRow("far", 1, { "east", "east-a" }) },
                true);
        }

        // Tries to borrow a retry and waits for the result.
        auto borrow(const BorrowRequest& request) -> std::optional<bool>
        {
            std::optional<bool> result;
            const auto borrower = RetryBorrower::start(context, request, [&result](bool isLent) { result = isLent; });
            testing::runUntil(io, [&result] { return result.has_value(); });
            return result;
        }

        std::vector<std::unique_ptr<Lender>> lenders;
    };

} // namespace

TEST_CASE("RetryBorrower borrows a retry from the first host of the data centre that has one left")
{
    Entry entry;
    const BorrowRequest request { .service = "orders", .calls = { { "stock", 1.5 } } };
    entry.lenders[0]->status = 429;
    for (int i = 0; i < 10; ++i)
        CHECK(entry.borrow(request) == true);
    CHECK(entry.lenders[1]->requests.size() == 10); // each retry is charged to exactly one lender
    CHECK(entry.lenders[1]->requests.front() == request);
}

TEST_CASE("RetryBorrower gets no retry when no host lends one")
{
    Entry entry;
    for (const auto& lender : entry.lenders)
        lender->status = 429;
    CHECK(entry.borrow({ .service = "orders" }) == false);
    entry.lenders[0]->server.finishDrain();
    entry.lenders[1]->server.finishDrain();
    CHECK(entry.borrow({ .service = "orders" }) == false);
    entry.directory.apply({}, true);
    CHECK(entry.borrow({ .service = "orders" }) == false);
}

TEST_CASE("RetryBorrower does not call back after cancel()")
{
    Entry entry;
    bool isCalled = false;
    const auto borrower
        = RetryBorrower::start(entry.context, { .service = "orders" }, [&isCalled](bool) { isCalled = true; });
    borrower->cancel();
    for (int i = 0; i < 10; ++i)
        entry.io.run_one_for(10ms);
    CHECK_FALSE(isCalled);
}

} // namespace coriandergate::relay
