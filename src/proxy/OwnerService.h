// Runs requests on the targets of this host: slot, last checks, target, report.
//
// All requests to a target pass through the owner on its host, wherever they entered, so that slots, draining, keys and
// permits are checked in one place, just before the target.
//
//   auto run = OwnerService::start(context, std::move(request), [](OwnerResult result) { ... });
//   run->cancel(); // the caller left
#pragma once

#include "http/Answer.h"
#include "http/Client.h"
#include "proxy/AttemptObserver.h"
#include "proxy/AttemptReport.h"
#include "proxy/OnceGate.h"
#include "proxy/OwnerRequest.h"
#include "proxy/Refusal.h"
#include "proxy/SlotGate.h"

#include <functional>
#include <memory>
#include <optional>
#include <variant>

namespace coriandergate::proxy {

struct ProxyContext;

// OwnerAnswer is a target's whole answer.
struct OwnerAnswer {
    http::Answer answer;
    OwnerReport report;
};

// OwnerRefusal says why there is none.
struct OwnerRefusal {
    Refusal refusal;
    OwnerReport report;
};

using OwnerResult = std::variant<OwnerAnswer, OwnerRefusal>;

// OwnerService is one request's run; it lives on the request's worker.
class OwnerService : public std::enable_shared_from_this<OwnerService> {
public:
    using Callback = std::function<void(OwnerResult)>;

    // start() begins a run on the calling worker, which must be `request.worker`. `done` is called once, later or
    // before start() returns, on that worker, unless the run is cancelled.
    static auto start(std::shared_ptr<const ProxyContext> context, OwnerRequest request, Callback done)
        -> std::shared_ptr<OwnerService>;

    OwnerService(std::shared_ptr<const ProxyContext> context, OwnerRequest request, Callback done);

    // cancel() gives the run up: it leaves the queue, or its connection to the target is closed. One that runs under a
    // permit goes on: its caller will want the answer when it sends the request again.
    auto cancel() -> void;

private:
    enum class Phase {
        Waiting,
        Running,
        Done,
    };

    auto begin() -> void;
    auto requestPermit(MonotonicTime now) -> void;
    auto onOnceDecision(OnceDecision decision) -> void;
    auto finishOnce(Outcome outcome, const http::Answer* answer) -> void;
    auto requestSlot(MonotonicTime now) -> void;
    auto onSlot(const SlotDecision& decision) -> void;
    [[nodiscard]] auto checkBeforeTarget(MonotonicTime now) const -> std::optional<Refusal>;
    auto callTarget(MonotonicTime now) -> void;
    auto onTargetResult(http::ExchangeResult result) -> void;
    auto onAnswer(http::Answer answer, MonotonicTime now) -> void;
    auto onFailure(const http::ExchangeFailure& failure, MonotonicTime now) -> void;
    auto probeForCrash(const http::ExchangeFailure& failure, bool mayProbeAgain) -> void;
    auto refuseFailure(const http::ExchangeFailure& failure, bool hasCrashed) -> void;
    auto endAttempt(AttemptEnd end, MonotonicTime now) -> void;
    auto releaseSlot(MonotonicTime now) -> void;
    auto releaseSlotAfterGrace() -> void;
    auto refuse(Refusal refusal) -> void;
    auto finish(OwnerResult result) -> void;
    [[nodiscard]] auto notRun(std::string step, std::string reason) const -> Refusal;

    std::shared_ptr<const ProxyContext> m_context;
    OwnerRequest m_request;
    Callback m_done;
    Phase m_phase = Phase::Waiting;
    OwnerReport m_report;
    std::uint32_t m_slots = 1;
    std::optional<SlotGate::Ticket> m_ticket;
    std::optional<std::uint64_t> m_attempt;
    http::Client::Call m_call = 0;
    MonotonicTime m_submittedAt;
    MonotonicTime m_startedAt;
    bool m_hasSlot = false;
    bool m_hasBegunOnce = false; // the OnceGate waits for the outcome
};

} // namespace coriandergate::proxy
