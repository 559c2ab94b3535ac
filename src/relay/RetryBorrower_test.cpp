#include "relay/RetryBorrower.h"

#include "http/Exchange.h"
#include "net/HttpServer.h"
#include "testing/EntryParts.h"
#include "testing/RunUntil.h"

#include <catch2/catch.hpp>

namespace coriandergate::relay {

using namespace std::chrono_literals;

namespace {

    // Lender answers with a status and keeps what it was asked.
    struct Lender {
        explicit Lender(boost::asio::io_context& io)
            : server(io, {}, [this](std::shared_ptr<http::Exchange> exchange) {
                Error reason;
                asked.push_back(decodeBorrowRequest(exchange->request().body, reason).value_or(BorrowRequest {}));
                exchange->answer(http::makeAnswer(status, "text/plain", ""));
            })
        {
            Error reason;
            REQUIRE(server.listen("127.0.0.1:0", reason));
        }

        int status = 200;
        std::vector<BorrowRequest> asked;
        net::HttpServer server;
    };

    // An entry and two hosts beside it in its data centre.
    struct Entry : testing::EntryParts {
        Entry()
        {
            for (int i = 0; i < 2; ++i)
                lenders.push_back(std::make_unique<Lender>(io));
            directory.apply(
                { testing::makeHostRow("self", 1, s_here), testing::makeHostRow("a", lenders[0]->server.port(), s_here),
                    testing::makeHostRow("b", lenders[1]->server.port(), s_here),
                    testing::makeHostRow("far", 1, { "east", "east-a" }) },
                true);
        }

        // Asks for a loan and waits for its end.
        auto borrow(const BorrowRequest& ask) -> std::optional<bool>
        {
            std::optional<bool> result;
            const auto loan = RetryBorrower::start(context, ask, [&result](bool isLent) { result = isLent; });
            testing::runUntil(io, [&result] { return result.has_value(); });
            return result;
        }

        std::vector<std::unique_ptr<Lender>> lenders;
    };

} // namespace

TEST_CASE("a further attempt is lent by the first host of the data centre that has one")
{
    Entry entry;
    const BorrowRequest ask { .service = "orders", .calls = { { "stock", 1.5 } } };
    entry.lenders[0]->status = 429;
    for (int i = 0; i < 10; ++i)
        CHECK(entry.borrow(ask) == true);
    CHECK(entry.lenders[1]->asked.size() == 10); // each loan is one lender's
    CHECK(entry.lenders[1]->asked.front() == ask);
}

TEST_CASE("without a lender there is no further attempt")
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

TEST_CASE("a loan that is cancelled tells nothing")
{
    Entry entry;
    bool isTold = false;
    const auto loan = RetryBorrower::start(entry.context, { .service = "orders" }, [&isTold](bool) { isTold = true; });
    loan->cancel();
    for (int i = 0; i < 10; ++i)
        entry.io.run_one_for(10ms);
    CHECK_FALSE(isTold);
}

} // namespace coriandergate::relay
