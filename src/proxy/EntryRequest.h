// One caller's request, from its arrival to its answer.
//
// The steps: route, key, poison, rate, then attempts: choose a target, send the request to the daemon
// beside it, and try another target only where that can't run anything twice. It lives on its connection's worker.
//
//   EntryRequest::start(context, exchange);
#pragma once

#include "http/Client.h"
#include "proxy/AttemptReport.h"
#include "proxy/OwnerRequest.h"
#include "proxy/OwnerService.h"
#include "proxy/RateGate.h"
#include "proxy/RequestContext.h"
#include "proxy/TargetChoice.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace coriandergate::http {
class Exchange;
}

namespace coriandergate::proxy {

struct ProxyContext;

class EntryRequest : public std::enable_shared_from_this<EntryRequest> {
public:
    // start() handles `exchange` on the calling worker until it is answered or abandoned.
    static auto start(std::shared_ptr<const ProxyContext> context, std::shared_ptr<http::Exchange> exchange) -> void;

    EntryRequest(std::shared_ptr<const ProxyContext> context, std::shared_ptr<http::Exchange> exchange);

private:
    auto begin() -> void;
    [[nodiscard]] auto identify(MonotonicTime now) -> std::optional<Refusal>;
    [[nodiscard]] auto findRoute() -> std::optional<Refusal>;
    [[nodiscard]] auto checkKey() -> std::optional<Refusal>;
    [[nodiscard]] auto checkAccount(const std::string& name) const -> std::optional<Refusal>;
    [[nodiscard]] auto readDeadline(MonotonicTime now) -> std::optional<Refusal>;
    auto prepareForTarget() -> void;

    auto checkPoison() -> void;
    auto acquireRate() -> void;
    [[nodiscard]] auto makeOnceLabel() const -> std::string;
    auto attempt() -> void;
    [[nodiscard]] auto chooseLastResort(MonotonicTime now) const -> std::optional<TargetChoice>;
    auto sendLocally(OwnerRequest request) -> void;
    auto sendToOwner(OwnerRequest request) -> void;
    auto onForwardResult(http::ExchangeResult result) -> void;
    auto onOwnerResult(OwnerResult result) -> void;
    auto onRefused(Refusal refusal, const OwnerReport& report) -> void;
    auto retryOrRefuse(const Refusal& refusal) -> void;
    auto reportAttempt(AttemptReport::Result result, int status, std::optional<OwnerReport> report) -> void;

    auto answer(http::Answer answer) -> void;
    auto refuse(const Refusal& refusal) -> void;
    auto settle(Outcome outcome) -> void;
    auto onAbandoned() -> void;
    auto logEnd(int status, Outcome outcome, const std::string& reason) const -> void;
    [[nodiscard]] auto isOver() const -> bool { return m_isOver; }

    std::shared_ptr<const ProxyContext> m_context;
    std::shared_ptr<http::Exchange> m_exchange;
    RequestContext m_request;
    std::optional<MonotonicTime> m_useBy;
    std::vector<std::string> m_tried;
    std::optional<TargetChoice> m_choice;
    MonotonicTime m_attemptStartedAt;
    std::shared_ptr<OwnerService> m_ownerRun;
    http::Client::Call m_call = 0;
    std::optional<Refusal> m_lastRefusal;
    bool m_mayHaveRun = false; // some attempt may have run
    bool m_isOver = false;
};

} // namespace coriandergate::proxy
