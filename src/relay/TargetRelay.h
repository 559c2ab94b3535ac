// The daemon's side beside its target: grants slots, sends each request to the target once, and says truly how it
// ended.
//
// All requests to a target pass through here, so its slots, its leaving and its failures are known in one place. After
// the target began to leave nothing more is sent to it, whatever entries still believe.
//
//   OwnerRelay owner(io, targets, options);
//   net::HttpServer server(io, {}, [&](auto exchange) { owner.handle(std::move(exchange)); });
//   server.onConnectionClosed([&](const std::string& peer) { owner.dropConnection(peer); });
#pragma once

#include "dispatch/CallRatio.h"
#include "dispatch/SlotQueue.h"
#include "dispatch/TargetHealth.h"
#include "net/HttpClient.h"
#include "relay/HeaderNames.h"
#include "relay/PeerMessages.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace coriandergate::fleet {
class LocalTarget;
}

namespace coriandergate::http {
class Exchange;
}

namespace coriandergate::relay {

// OwnerRelay is used on the thread of its io_context.
class TargetRelay {
public:
    struct Options {
        HeaderNames headers;
        dispatch::TargetHealth::Options health;
        std::chrono::milliseconds reservationTimeout { 1000 }; // a granted slot whose request doesn't come is freed
        std::chrono::milliseconds targetConnectTimeout { 400 }; // the target is on this host
        std::chrono::milliseconds concurrencyReductionTime {
            300
        }; // after the target refused though it should have had a slot
        // An idle connection may have been closed by the target unseen, and what is sent on it is lost. A repeatable
        // request can be sent again, another can't.
        std::chrono::milliseconds nonIdempotentMaximumIdleAge { 1500 };
        std::size_t maximumAnswerBytes = 32 * 1024 * 1024;
    };
    using StoreClock = std::function<std::optional<std::chrono::milliseconds>()>;

    // `calls` counts the runs here and outlives the relay.
    TargetRelay(boost::asio::io_context& io, const fleet::LocalTarget& target, dispatch::CallRatio& calls,
        const Options& options);
    ~TargetRelay();

    // handle() serves one message of an entry.
    auto handle(std::shared_ptr<http::Exchange> exchange) -> void;

    // dropConnection() gives up what an entry asked for on a connection that ended.
    auto onConnectionClosed(const std::string& connection) -> void;

    // onTargetChanged() follows a new incarnation, its slots, and its leaving.
    auto onTargetChanged() -> void;

    // startAccepting() takes requests from now on: what an earlier daemon of this host had told the fleet is known.
    auto startAccepting() -> void { m_isOpen = true; }

    // setStopping() refuses every new request; those that were granted go on.
    auto stopAccepting() -> void { m_isStopping = true; }

    // setStoreClock() tells how to read the store's clock, for requests that were held up on their way.
    auto setStoreClock(StoreClock storeClock) -> void { m_storeClock = std::move(storeClock); }

    [[nodiscard]] auto running() const -> std::size_t { return m_slots.load().running; }
    [[nodiscard]] auto loadReport(MonotonicTime now) const -> TargetLoadReport;
    [[nodiscard]] auto targetConnectionsOpened() const -> std::uint64_t { return m_client.connectionsOpened(); }

private:
    struct Reservation;
    struct Run;
    using Ticket = dispatch::SlotQueue::Ticket;

    auto reserve(const std::shared_ptr<http::Exchange>& exchange) -> void;
    auto grant(Reservation& reservation) -> void;
    auto refuse(const std::shared_ptr<http::Exchange>& exchange, const std::string& requestId, std::string_view why)
        -> void;
    auto serveWaiting() -> void;
    auto armWaitTimer() -> void;
    auto releaseReservation(const std::string& connection) -> void;
    auto run(const std::shared_ptr<http::Exchange>& exchange) -> void;
    auto send(const std::shared_ptr<Run>& run, RunRequest ask) -> void;
    auto onStuck(const std::shared_ptr<Run>& run) -> void;
    auto onTargetDone(const std::shared_ptr<Run>& run, net::HttpClient::Result result) -> void;
    auto onAnswer(Run& run, http::Answer answer) -> void;
    auto finishRun(Run& run, std::optional<std::chrono::milliseconds> serviceTime) -> void;
    auto reply(Run& run, RunOutcome outcome, http::Answer answer, std::string_view why) -> void;
    auto noteRefusal(const http::Answer& answer, MonotonicTime now) -> void;
    auto recordEnd(dispatch::TargetHealth::Outcome outcome, std::string_view why) -> void;
    [[nodiscard]] auto refusalReason(const ReserveRequest& ask) const -> std::string_view;
    [[nodiscard]] auto targetRequest(const RunRequest& ask, std::chrono::milliseconds timeLeft) const -> http::Request;

    boost::asio::io_context& m_io;
    const fleet::LocalTarget& m_target;
    dispatch::CallRatio& m_calls;
    Options m_options;
    net::HttpClient m_client;
    dispatch::SlotQueue m_slots;
    dispatch::TargetHealth m_health;
    StoreClock m_storeClock;
    boost::asio::steady_timer m_waitTimer;
    std::map<std::string, std::shared_ptr<Reservation>> m_reservations; // by connection
    std::map<Ticket, std::string> m_waiting; // connection of each waiting reservation
    Ticket m_nextTicket = 1;
    std::string m_knownTarget;
    double m_rejectionRate = 0; // of the requests that reached the target lately
    MonotonicTime m_lastAnswerAt;
    bool m_isOpen = false;
    bool m_isStopping = false;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace coriandergate::relay
