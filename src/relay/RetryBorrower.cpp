#include "relay/RetryBorrower.h"

#include "fleet/HostDirectory.h"
#include "http/Status.h"
#include "relay/EntryContext.h"

#include <algorithm>

namespace coriandergate::relay {

auto RetryBorrower::start(EntryContext& context, const BorrowRequest& request, Callback callback)
    -> std::shared_ptr<RetryBorrower>
{
    const auto borrower = std::make_shared<RetryBorrower>(context, request, std::move(callback));
    borrower->chooseLenders();
    borrower->askNext();
    return borrower;
}

RetryBorrower::RetryBorrower(EntryContext& context, const BorrowRequest& request, Callback callback)
    : m_context(context)
    , m_request(request)
    , m_callback(std::move(callback))
{
}

auto RetryBorrower::chooseLenders() -> void
{
    std::vector<std::string> candidates;
    for (const auto& host : m_context.directory.hostsInDataCentre(m_context.locality)) {
        const auto* record = m_context.directory.find(host);
        if (record && host != m_context.hostKey)
            candidates.push_back(record->peerAddress);
    }
    std::sample(candidates.begin(), candidates.end(), std::back_inserter(m_lenders), m_context.options.maximumLenders,
        m_context.random);
}

auto RetryBorrower::askNext() -> void
{
    if (m_lenders.empty()) {
        const auto callback = std::exchange(m_callback, nullptr);
        callback(false);
        return;
    }
    const auto lender = std::move(m_lenders.back());
    m_lenders.pop_back();
    m_call = m_context.peerClient.send(lender, encodeBorrowRequest(m_request),
        { .timeout = m_context.options.borrowTimeout },
        [self = shared_from_this()](const net::HttpClient::Result& result) { self->onResponse(result); });
}

auto RetryBorrower::onResponse(const net::HttpClient::Result& result) -> void
{
    m_call = 0;
    const auto* response = std::get_if<http::Answer>(&result);
    if (!response || response->status != http::statusOk) {
        askNext();
        return;
    }
    const auto callback = std::exchange(m_callback, nullptr);
    callback(true);
}

auto RetryBorrower::cancel() -> void
{
    m_callback = nullptr;
    m_lenders.clear();
    if (m_call != 0)
        m_context.peerClient.cancel(std::exchange(m_call, 0));
}

} // namespace coriandergate::relay
