// Borrows one retry from another host when this host's share of the fleet's retry budget is used up.
//
// Asks a few hosts of the same data centre one after another. The first one with budget left lends a retry and charges
// it to its own share.
//
//   m_retryBorrower = RetryBorrower::start(context, { .service = "orders" }, [](bool isLent) { ... });
//   m_retryBorrower->cancel(); // when the retry is no longer needed
#pragma once

#include "net/HttpClient.h"
#include "relay/PeerMessages.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace coriandergate::relay {

struct EntryContext;

// RetryBorrower runs on the thread of its context, which must outlive it.
class RetryBorrower : public std::enable_shared_from_this<RetryBorrower> {
public:
    using Callback = std::function<void(bool isLent)>;

    // start() sends the requests and calls `callback` exactly once, possibly before it returns. After cancel() the
    // callback is not called.
    static auto start(EntryContext& context, const BorrowRequest& request, Callback callback)
        -> std::shared_ptr<RetryBorrower>;

    RetryBorrower(EntryContext& context, const BorrowRequest& request, Callback callback);

    auto cancel() -> void;

private:
    auto chooseLenders() -> void;
    auto askNext() -> void;
    auto onResponse(const net::HttpClient::Result& result) -> void;

    EntryContext& m_context;
    BorrowRequest m_request;
    Callback m_callback;
    std::vector<std::string> m_lenders; // addresses not asked yet
    net::HttpClient::Call m_call = 0;
};

} // namespace coriandergate::relay
