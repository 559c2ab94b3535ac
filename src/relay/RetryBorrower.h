// Borrows a further attempt for an entry whose own part of the fleet's budget is used up.
//
// A few hosts of the data centre are asked one after the other; the first that has an attempt left over lends it and
// counts it as its own.
//
//   m_loan = AttemptLoan::start(context, { .service = "orders" }, [](bool isLent) { ... });
//   m_loan->cancel(); // when it isn't needed any more
#pragma once

#include "net/HttpClient.h"
#include "relay/PeerMessages.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace coriandergate::relay {

struct EntryContext;

// AttemptLoan is used on the thread of its context, which outlives it.
class RetryBorrower : public std::enable_shared_from_this<RetryBorrower> {
public:
    using Done = std::function<void(bool isLent)>;

    // start() asks and calls `done` once, at once or later, unless the loan is cancelled before.
    static auto start(EntryContext& context, const BorrowRequest& ask, Done done) -> std::shared_ptr<RetryBorrower>;

    RetryBorrower(EntryContext& context, const BorrowRequest& ask, Done done);

    auto cancel() -> void;

private:
    auto chooseLenders() -> void;
    auto askNext() -> void;
    auto onAnswer(const net::HttpClient::Result& result) -> void;

    EntryContext& m_context;
    BorrowRequest m_ask;
    Done m_done;
    std::vector<std::string> m_lenders; // addresses that are still to be asked
    net::HttpClient::Call m_call = 0;
};

} // namespace coriandergate::relay
