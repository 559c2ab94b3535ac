// The slots of this host's target that entries reserved, or wait for, each by the connection that asked.
//
// A slot is granted only together with a permit of the meter of arrivals, so that what is sent later is counted from
// the grant on.
//
//   SlotReservations reservations(io, slots, health, warmUp, options);
//   reservations.reserve(exchange, message, now); // responds now or once a slot is free
//   if (auto slot = reservations.take(connection)) ... // the slot and the permit are the caller's to release
#pragma once

#include "dispatch/SlotQueue.h"
#include "relay/PeerMessages.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace coriandergate::dispatch {
class TargetHealth;
class WarmUp;
}

namespace coriandergate::http {
class Exchange;
class HeaderList;
}

namespace coriandergate::relay {

// SlotReservations runs on the thread of its io_context.
class SlotReservations {
public:
    struct Options {
        std::chrono::milliseconds timeout { 1000 }; // frees a granted slot whose request does not arrive
        // Adds the target's load to the headers of a response.
        std::function<void(http::HeaderList&, MonotonicTime now)> addReport;
        // The value of callsHeader; empty while it isn't known.
        std::function<std::string(MonotonicTime now)> callsPerRequest;
    };

    // Slot is a granted slot.
    struct Slot {
        dispatch::SlotQueue::Ticket ticket = 0; // to release it with
        int priority = 0;
        bool isProbe = false;
        bool acceptsFailingTarget = false;
    };

    // The slots, the health and the meter must outlive the object.
    SlotReservations(boost::asio::io_context& io, dispatch::SlotQueue& slots, dispatch::TargetHealth& health,
        dispatch::WarmUp& warmUp, Options options);
    ~SlotReservations();
    SlotReservations(const SlotReservations&) = delete;
    auto operator=(const SlotReservations&) -> SlotReservations& = delete;

    // reserve() responds to `exchange` with a slot as soon as one is free, or refuses.
    auto reserve(const std::shared_ptr<http::Exchange>& exchange, const ReserveRequest& message, MonotonicTime now)
        -> void;

    // Origin names a refused request and its client account in the log.
    struct Origin {
        std::string requestId;
        std::string clientAccount;
        bool gaveWay = false; // to a request of another account
    };

    // refuse() responds that no slot was reserved and that the request was not sent.
    auto refuse(const std::shared_ptr<http::Exchange>& exchange, const Origin& origin, std::string_view why,
        MonotonicTime now) -> void;

    // refuseWaiting() refuses every request that waits.
    auto refuseWaiting(std::string_view why, MonotonicTime now) -> void;

    // take() hands the slot that was granted on `connection` over, together with the permit; nothing if there is none.
    [[nodiscard]] auto take(const std::string& connection) -> std::optional<Slot>;

    // forgetExpired() returns whether the slot granted on `connection` was released before its request arrived, and
    // forgets that.
    [[nodiscard]] auto forgetExpired(const std::string& connection) -> bool { return m_expired.erase(connection) > 0; }

    // onConnectionClosed() releases the slot that was reserved on `connection`.
    auto onConnectionClosed(const std::string& connection) -> void;

    // grantWaiting() refuses the waiting requests that can't start in time any more, and grants what is free.
    auto grantWaiting(MonotonicTime now) -> void;

    // heldBack() counts requests that waited or were refused by the meter while a slot was free; countHeldBack() adds
    // one that the caller refused.
    [[nodiscard]] auto heldBack() const -> std::uint64_t { return m_heldBack; }
    auto countHeldBack() -> void { ++m_heldBack; }

    // gaveWay() counts waiting requests that were refused because their account had the most of them and a request of
    // another went first.
    [[nodiscard]] auto gaveWay() const -> std::uint64_t { return m_gaveWay; }

private:
    struct Reservation;
    using Ticket = dispatch::SlotQueue::Ticket;

    auto grant(Reservation& reservation, MonotonicTime now) -> void;
    // takeWaiting() returns the reservation that waits with `ticket`, which from then on no longer waits; null if none.
    auto takeWaiting(Ticket ticket) -> std::shared_ptr<Reservation>;
    // refuseTicket() refuses the reservation that waits with `ticket`, which is no longer in the queue.
    auto refuseTicket(Ticket ticket, std::string_view why, MonotonicTime now, bool gaveWay = false) -> void;
    auto refuseEvicted(MonotonicTime now) -> void;
    auto armWaitTimer() -> void;
    auto release(const std::string& connection) -> void;
    auto expire(const std::string& connection, Ticket ticket) -> void;

    boost::asio::io_context& m_io;
    dispatch::SlotQueue& m_slots;
    dispatch::TargetHealth& m_health;
    dispatch::WarmUp& m_warmUp;
    Options m_options;
    boost::asio::steady_timer m_waitTimer;
    std::map<std::string, std::shared_ptr<Reservation>> m_reservations; // by connection
    std::set<std::string> m_expired; // connections whose granted slot was released before its request arrived
    std::map<Ticket, std::string> m_waiting; // connection of each waiting reservation
    Ticket m_nextTicket = 1;
    std::uint64_t m_heldBack = 0;
    std::uint64_t m_gaveWay = 0;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace coriandergate::relay
