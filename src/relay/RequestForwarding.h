// The step of a request that forwards it: finds a target with a free slot, sends the request there and tries other
// targets as far as its route, its deadline and the retry budget allow.
//
//   m_forwarding = std::make_shared<RequestForwarding>(request, onEnded);
//   m_forwarding->start(); // once the request is admitted
#pragma once

#include "http/Answer.h"
#include "relay/RequestRefusal.h"
#include "relay/TargetAttempt.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace coriandergate::relay {

class RetryGate;
class SecondAttempt;
struct CallerRequest;

// RequestForwarding runs on the thread of the request's context, which outlives it until cancel().
class RequestForwarding : public std::enable_shared_from_this<RequestForwarding> {
public:
    // EndCallback receives the caller's response and its reason, which is a constant. A refusal is only ever among them
    // if no target has executed the request and none will.
    using EndCallback = std::function<void(http::Answer response, std::string_view why)>;

    RequestForwarding(std::shared_ptr<CallerRequest> request, EndCallback onEnded);
    ~RequestForwarding();
    RequestForwarding(const RequestForwarding&) = delete;
    auto operator=(const RequestForwarding&) -> RequestForwarding& = delete;

    // start() forwards the request. Afterwards the callback is called once, possibly before start() returns, unless
    // cancel() comes first.
    auto start() -> void;

    // endByDeadline() ends the request, started or not, with the response that the passed deadline leaves.
    auto endByDeadline() -> void;

    // cancel() gives up what is under way and releases what it holds of the context. No callback is called afterwards.
    auto cancel() -> void;

private:
    auto prepare() -> void;
    auto tryNextTarget() -> void;
    auto waitOrEnd() -> void;
    auto reserveSlot(dispatch::LoadBalancer::TargetPointer target) -> void;
    auto onSlotResult(const TargetAttempt::SlotResult& result) -> void;
    auto onSlotRefused(const TargetAttempt::SlotRefused& refusal) -> void;
    auto onSlotUnreachable(const TargetAttempt::PathFailed& failed) -> void;
    auto tryElsewhere() -> void;
    auto startAttempt() -> void;
    auto stopTrying(std::string_view why) -> void;
    auto sendRequest() -> void;
    auto onRunResult(TargetAttempt::RunResult result) -> void;
    auto onRunEnded(TargetAttempt::Ended ended) -> void;
    auto onRunPathFailed() -> void;
    auto onCrash(const std::string& target) -> void;
    auto onTargetResponse(http::Answer response) -> void;
    auto retryOrEnd(http::Answer lastResponse, std::string_view why) -> void;
    auto endAttempt() -> void;
    auto refuse(const RequestRefusal& refusal) -> void;
    auto fail(int status, std::string_view why) -> void;
    auto end(http::Answer response, std::string_view why) -> void;

    std::shared_ptr<CallerRequest> m_request;
    EntryContext& m_context;
    EndCallback m_onEnded; // null once the request has ended
    boost::asio::steady_timer m_pauseTimer; // between searches
    std::shared_ptr<RetryGate> m_retryGate;
    std::shared_ptr<SecondAttempt> m_secondAttempt; // set by start()
    std::unique_ptr<TargetAttempt> m_attempt; // under way
    MonotonicTime m_attemptStartedAt; // when the request was sent to the target of m_attempt
};

} // namespace coriandergate::relay
