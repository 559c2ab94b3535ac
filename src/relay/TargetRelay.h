// Relays requests from entries to the target on this host: grants slots, sends each request to the target at most
// once and reports how the attempt ended.
//
// Every request to the target passes through here, so its slots, its draining state and its health are tracked in one
// place. Once the target is draining, nothing more is sent to it, even if entries don't know that yet.
//
//   TargetRelay relay(io, target, callRatio, options);
//   net::HttpServer server(io, {}, [&](auto exchange) { relay.handle(std::move(exchange)); });
//   server.onConnectionClosed([&](const std::string& peer) { relay.onConnectionClosed(peer); });
#pragma once

#include "dispatch/CallRatio.h"
#include "dispatch/RunningPriorities.h"
#include "dispatch/SlotQueue.h"
#include "dispatch/TargetHealth.h"
#include "dispatch/WarmUp.h"
#include "net/HttpClient.h"
#include "relay/HeaderNames.h"
#include "relay/PeerMessages.h"
#include "relay/SlotReservations.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

namespace coriandergate::fleet {
class LocalTarget;
}

namespace coriandergate::http {
class Exchange;
}

namespace coriandergate::relay {

class LocalPlacement;

// TargetRelay runs on the thread of its io_context.
class TargetRelay {
public:
    struct Options {
        HeaderNames headers;
        dispatch::TargetHealth::Options health;
        std::chrono::milliseconds reservationTimeout { 1000 }; // frees a granted slot whose request does not arrive
        // The deployment bounds the arrivals at cold targets: nothing is sent before setArrivalBound().
        bool isArrivalBoundExpected = false;
        bool limitsWarmTarget = false; // the bound of a cold target holds for a warm one too
        std::chrono::milliseconds targetConnectTimeout { 400 }; // the target is on this host
        // How long fewer requests are admitted after the target rejected one because it was full.
        std::chrono::milliseconds concurrencyLimitTime { 300 };
        // The target may have closed an idle connection unnoticed, and a request sent on it is lost. An idempotent
        // request can be retried; any other goes only on connections that were idle for no longer than this.
        std::chrono::milliseconds nonIdempotentMaximumIdleAge { 1500 };
        std::size_t maximumAnswerBytes = 32 * 1024 * 1024;
        std::size_t maximumBufferedAnswerBytes = 64 * 1024 * 1024; // of all answers that the target is sending
    };
    using StoreClock = std::function<std::optional<std::chrono::milliseconds>()>;

    // `callRatio` counts the requests executed here; `target` and `callRatio` must outlive the relay.
    TargetRelay(boost::asio::io_context& io, const fleet::LocalTarget& target, dispatch::CallRatio& callRatio,
        const Options& options);
    ~TargetRelay();

    // handle() serves one ReserveRequest or RunRequest.
    auto handle(std::shared_ptr<http::Exchange> exchange) -> void;

    // onConnectionClosed() releases the slot that an entry reserved, or waits for, on `connection`.
    auto onConnectionClosed(const std::string& connection) -> void { m_reservations.onConnectionClosed(connection); }

    // onTargetChanged() applies a change of the target's incarnation, number of slots or draining state.
    auto onTargetChanged() -> void;

    // onHeartbeat() applies what the newest heartbeat says of how long the target stays cold.
    auto onHeartbeat() -> void;

    // setArrivalBound() sets how many requests the target may get in a second, as the configuration in force says.
    auto setArrivalBound(const dispatch::WarmUp::Bound& bound) -> void;
    [[nodiscard]] auto isArrivalBoundKnown() const -> bool { return m_warmUp.bound().has_value(); }

    // onEvacuationsChanged() refuses the reservations that wait if the data centre of this host is evacuated now,
    // and takes the target for cold if it is no longer.
    auto onEvacuationsChanged() -> void;

    // startAccepting() accepts reservations from now on. It is called once the host list has arrived, which tells
    // whether an earlier daemon of this host already announced that the target is draining, and the operators' rows,
    // which tell whether the data centre is evacuated.
    auto startAccepting() -> void { m_isAccepting = true; }

    // stopAccepting() refuses every new reservation; granted ones continue.
    auto stopAccepting() -> void { m_isStopping = true; }

    // setStoreClock() sets how to read the store's clock. By this clock, the time that a request spent in transit is
    // deducted from the time left until its deadline.
    auto setStoreClock(StoreClock storeClock) -> void { m_storeClock = std::move(storeClock); }

    // setPlacement() sets what decides by its place whether the target gets a request; it outlives the relay.
    auto setPlacement(const LocalPlacement& placement) -> void { m_placement = &placement; }

    // runningPriorities() are those of the requests that the target executes now.
    [[nodiscard]] auto runningPriorities() const -> const dispatch::RunningPriorities& { return m_runningPriorities; }

    // running() is the number of occupied slots.
    [[nodiscard]] auto running() const -> std::size_t { return m_slots.load().running; }
    // loadReport() is the state of the target that entries receive with every response.
    [[nodiscard]] auto loadReport(MonotonicTime now) const -> TargetLoadReport;
    [[nodiscard]] auto targetConnectionsOpened() const -> std::uint64_t { return m_client.connectionsOpened(); }
    // lateResponses() counts responses of the target to requests that had ended before.
    // heldBack() counts requests that waited or were refused because the target may get no more in a second.
    [[nodiscard]] auto heldBack() const -> std::uint64_t { return m_reservations.heldBack(); }
    // gaveWay() counts waiting requests that were refused for those of another client account.
    [[nodiscard]] auto gaveWay() const -> std::uint64_t { return m_reservations.gaveWay(); }
    // waitingAccounts() is the number of client accounts whose requests wait for slots.
    [[nodiscard]] auto waitingAccounts() const -> std::size_t { return m_slots.waitingAccounts(); }
    [[nodiscard]] auto isTargetCold(MonotonicTime now) const -> bool { return m_warmUp.isCold(now); }
    [[nodiscard]] auto lateResponses() const -> std::uint64_t { return m_lateResponses; }

private:
    struct Run;

    auto handleReserve(const std::shared_ptr<http::Exchange>& exchange) -> void;
    auto addReport(http::HeaderList& headers, MonotonicTime now) const -> void;
    auto logWarmth(MonotonicTime now) -> void;
    auto recordColdTime(const http::Answer& response, MonotonicTime now) -> void;
    auto handleRun(const std::shared_ptr<http::Exchange>& exchange) -> void;
    auto sendToTarget(const std::shared_ptr<Run>& run, RunRequest message) -> void;
    auto onUnresponsive(const std::shared_ptr<Run>& run) -> void;
    auto onTargetResult(const std::shared_ptr<Run>& run, net::HttpClient::Result result) -> void;
    auto onTargetResponse(Run& run, http::Answer response) -> void;
    auto finishRun(Run& run, std::optional<std::chrono::milliseconds> serviceTime) -> void;
    auto reply(Run& run, RunOutcome outcome, http::Answer response, std::string_view why) -> void;
    auto recordRejection(const http::Answer& response, MonotonicTime now) -> void;
    auto recordLateResponse(const http::Answer& response) -> void;
    auto recordOutcome(dispatch::TargetHealth::Outcome outcome, std::string_view why) -> void;
    [[nodiscard]] auto isRejection(const http::Answer& response) const -> bool;
    [[nodiscard]] auto refusalReason(const ReserveRequest& message) const -> std::string_view;
    [[nodiscard]] auto makeTargetRequest(const RunRequest& message, std::chrono::milliseconds timeLeft) const
        -> http::Request;

    boost::asio::io_context& m_io;
    const fleet::LocalTarget& m_target;
    dispatch::CallRatio& m_callRatio;
    Options m_options;
    net::HttpClient m_client;
    dispatch::SlotQueue m_slots;
    dispatch::RunningPriorities m_runningPriorities;
    dispatch::TargetHealth m_health;
    dispatch::WarmUp m_warmUp;
    SlotReservations m_reservations;
    StoreClock m_storeClock;
    const LocalPlacement* m_placement = nullptr; // null: every request
    bool m_isEvacuated = false;
    bool m_wasCold = false; // when that was logged last
    std::string m_knownIncarnation; // "id/start time"
    double m_rejectionRate = 0; // moving average of the fraction of requests that the target rejected
    MonotonicTime m_lastResponseAt;
    std::uint64_t m_lateResponses = 0;
    bool m_isAccepting = false;
    bool m_isStopping = false;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace coriandergate::relay
