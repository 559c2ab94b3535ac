#include "http/Exchange.h"

#include <utility>

namespace coriandergate::http {

Exchange::Exchange(Request request, std::string peer, std::size_t worker, Answerer answerer)
    : m_request(std::move(request))
    , m_peer(std::move(peer))
    , m_worker(worker)
    , m_answerer(std::move(answerer))
{
}

Exchange::~Exchange()
{
    if (m_isOpen)
        answer(makeAnswer(500, "text/plain", "the request was dropped inside the daemon\n"));
}

auto Exchange::answer(Answer answer) -> void
{
    if (!std::exchange(m_isOpen, false))
        return;
    m_onAbandoned = nullptr;
    m_answerer(std::move(answer));
}

auto Exchange::abandon() -> void
{
    if (!std::exchange(m_isOpen, false))
        return;
    if (auto callback = std::exchange(m_onAbandoned, nullptr))
        callback();
}

} // namespace coriandergate::http
