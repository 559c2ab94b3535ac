#include "relay/AttemptLoan.h"

#include "fleet/HostDirectory.h"
#include "http/Status.h"
#include "relay/EntryContext.h"

#include <algorithm>

namespace coriandergate::relay {

auto AttemptLoan::start(EntryContext& context, const AttemptAsk& ask, Done done) -> std::shared_ptr<AttemptLoan>
{
    const auto loan = std::make_shared<AttemptLoan>(context, ask, std::move(done));
    loan->chooseLenders();
    loan->askNext();
    return loan;
}

AttemptLoan::AttemptLoan(EntryContext& context, const AttemptAsk& ask, Done done)
    : m_context(context)
    , m_ask(ask)
    , m_done(std::move(done))
{
}

auto AttemptLoan::chooseLenders() -> void
{
    std::vector<std::string> near;
    for (const auto& host : m_context.directory.hostsInDataCentre(m_context.here)) {
        if (host != m_context.self)
            near.push_back(m_context.directory.find(host)->peerAddress);
    }
    std::sample(
        near.begin(), near.end(), std::back_inserter(m_lenders), m_context.options.lendersAsked, m_context.random);
}

auto AttemptLoan::askNext() -> void
{
    if (m_lenders.empty()) {
        const auto done = std::exchange(m_done, nullptr);
        done(false);
        return;
    }
    const auto lender = std::move(m_lenders.back());
    m_lenders.pop_back();
    m_call = m_context.hops.send(lender, encodeAttempt(m_ask), { .timeout = m_context.options.loanHopTime },
        [self = shared_from_this()](const net::HttpClient::Result& result) { self->onAnswer(result); });
}

auto AttemptLoan::onAnswer(const net::HttpClient::Result& result) -> void
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

auto AttemptLoan::cancel() -> void
{
    m_done = nullptr;
    m_lenders.clear();
    if (m_call != 0)
        m_context.hops.cancel(std::exchange(m_call, 0));
}

} // namespace coriandergate::relay
