// One request that a server received and the one answer that it gets.
//
// The handler is given an Exchange on the worker thread of its connection and must call answer() once, then or later,
// on that thread. The caller may leave in between: then onAbandoned() fires and answer() does nothing.
#pragma once

#include "http/Answer.h"
#include "http/Request.h"

#include <cstddef>
#include <functional>
#include <string>

namespace coriandergate::http {

class Exchange {
public:
    using Answerer = std::function<void(Answer&&)>;

    // Exchange() is made by the server. `worker` is the index of the connection's worker; `peer` is the caller's
    // "address:port".
    Exchange(Request request, std::string peer, std::size_t worker, Answerer answerer);

    // The destructor answers 500 when the handler forgot to, so that no caller waits for ever.
    ~Exchange();

    Exchange(const Exchange&) = delete;
    auto operator=(const Exchange&) -> Exchange& = delete;

    [[nodiscard]] auto request() const -> const Request& { return m_request; }
    [[nodiscard]] auto request() -> Request& { return m_request; }
    [[nodiscard]] auto peer() const -> const std::string& { return m_peer; }
    [[nodiscard]] auto worker() const -> std::size_t { return m_worker; }

    // isOpen() says that the caller is still there and has no answer yet.
    [[nodiscard]] auto isOpen() const -> bool { return m_isOpen; }

    // answer() sends the answer. The second call, and one after the caller left, does nothing.
    auto answer(Answer answer) -> void;

    // onAbandoned() sets what to do when the caller leaves before its answer; called at most once.
    auto onAbandoned(std::function<void()> callback) -> void { m_onAbandoned = std::move(callback); }

    // abandon() is called by the server when the caller leaves.
    auto abandon() -> void;

private:
    Request m_request;
    std::string m_peer;
    std::size_t m_worker;
    Answerer m_answerer;
    std::function<void()> m_onAbandoned;
    bool m_isOpen = true;
};

} // namespace coriandergate::http
