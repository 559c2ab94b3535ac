// One attempt of a request at one target: reserves a slot at the daemon on the target's host, and then sends the
// request there on the same connection.
//
//   auto attempt = std::make_unique<TargetAttempt>(context, target, id);
//   attempt->reserve(message, timeout, [self](TargetAttempt::SlotResult result) { ... });
//   attempt->run(message, timeout, [self](TargetAttempt::RunResult result) { ... });
#pragma once

#include "dispatch/LoadBalancer.h"
#include "http/Answer.h"
#include "http/ExchangeFailure.h"
#include "net/HttpClient.h"
#include "relay/PeerMessages.h"

#include <chrono>
#include <functional>
#include <string>
#include <variant>

namespace coriandergate::relay {

struct EntryContext;

// TargetAttempt runs on the thread of its context, which outlives it. The destructor gives up what is still under way,
// and with it the slot; its callbacks are not called afterwards.
class TargetAttempt {
public:
    struct SlotGranted { };
    struct SlotRefused {
        std::string reason;
    };
    // PathFailed says that the daemon on the target's host didn't respond.
    struct PathFailed {
        http::ExchangeFailure failure;
    };
    struct Ended {
        RunOutcome outcome = RunOutcome::MayHaveRun;
        http::Answer response;
    };
    using SlotResult = std::variant<SlotGranted, SlotRefused, PathFailed>;
    using RunResult = std::variant<Ended, PathFailed>;
    using SlotCallback = std::function<void(const SlotResult& result)>;
    using RunCallback = std::function<void(RunResult result)>;

    TargetAttempt(EntryContext& context, dispatch::LoadBalancer::TargetPointer target, std::string requestId);
    ~TargetAttempt();
    TargetAttempt(const TargetAttempt&) = delete;
    auto operator=(const TargetAttempt&) -> TargetAttempt& = delete;

    // reserve() asks for a slot and calls `callback` once, later.
    auto reserve(const ReserveRequest& message, SlotCallback callback) -> void;

    // run() sends the request to execute in the granted slot and calls `callback` once, later. False if the connection
    // is gone; then nothing was sent and the callback is not called.
    [[nodiscard]] auto run(const RunRequest& message, RunCallback callback) -> bool;

    // target() is the target as it was announced when its slot was reserved.
    [[nodiscard]] auto target() const -> const dispatch::LoadBalancer::Description& { return m_asked; }

private:
    auto onSlotResponse(const net::HttpClient::Result& result) -> SlotResult;
    auto onSlotRefused(const http::Answer& response) -> SlotResult;
    auto onPathFailure(const http::ExchangeFailure& failure, std::string_view step, std::string_view outcome) -> void;
    auto onRunResponse(net::HttpClient::Result result, bool isIdempotent) -> RunResult;
    auto applyLoadReport(const http::Answer& response) -> void;

    EntryContext& m_context;
    dispatch::LoadBalancer::TargetPointer m_target;
    dispatch::LoadBalancer::Description m_asked;
    std::string m_requestId;
    net::HttpClient::Call m_call = 0; // 0 once nothing is under way
};

} // namespace coriandergate::relay
