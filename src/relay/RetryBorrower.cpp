#include "relay/RetryBorrower.h"

#include "fleet/HostDirectory.h"
#include "http/Status.h"
#include "relay/EntryContext.h"

#include <algorithm>

namespace coriandergate::relay {

auto RetryBorrower::start(EntryContext& context, const BorrowRequest& ask, Done done) -> std::shared_ptr<RetryBorrower>
{
    const auto loan = std::make_shared<RetryBorrower>(context, ask, std::move(done));
    loan->chooseLenders();
    loan->askNext();
    return loan;
}

RetryBorrower::RetryBorrower(EntryContext& context, const BorrowRequest& ask, Done done)
    : m_context(context)
    , m_ask(ask)
    , m_done(std::move(done))
{
}

auto RetryBorrower::chooseLenders() -> void
{
    std::vector<std::string> near;
    for (const auto& host : m_context.directory.hostsAt(m_context.locality)) {
        if (host != m_context.hostKey)
            near.push_back(m_context.directory.find(host)->peerAddress);
    }
    std::sample(
        near.begin(), near.end(), std::back_inserter(m_lenders), m_context.options.maximumLenders, m_context.random);
}

auto RetryBorrower::askNext() -> void
{
    if (m_lenders.empty()) {
        const auto done = std::exchange(m_done, nullptr);
        done(false);
        return;
    }
    const auto lender = std::move(m_lenders.back());
    m_lenders.pop_back();
    m_call
        = m_context.peerClient.send(lender, encodeBorrowRequest(m_ask), { .timeout = m_context.options.borrowTimeout },
            [self = shared_from_this()](const net::HttpClient::Result& result) { self->onAnswer(result); });
}

auto RetryBorrower::onAnswer(const net::HttpClient::Result& result) -> void
{
    m_call = 0;
    const auto* answer = std::get_if<http::Answer>(&result);
    if (!answer || answer->status != http::statusOk) {
        askNext();
        return;
    }
    const auto done = std::exchange(m_done, nullptr);
    done(true);
}

auto RetryBorrower::cancel() -> void
{
    m_done = nullptr;
    m_lenders.clear();
    if (m_call != 0)
        m_context.peerClient.cancel(std::exchange(m_call, 0));
}

} // namespace coriandergate::relay
