#include "relay/SlotReservations.h"

#include "dispatch/TargetHealth.h"
#include "dispatch/WarmUp.h"
#include "http/Exchange.h"
#include "http/Status.h"
#include "log/Event.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace coriandergate::relay {

using dispatch::SlotQueue;
using dispatch::TargetHealth;
using std::chrono::milliseconds;

namespace {

    const log::Event slotRefused { 1910, log::Severity::Info, "slot refused",
        "why this host's daemon refused to reserve a slot; the entry tries another target" };

    // Added to the priority of requests that can't meet their target latency, so that they queue behind all that can.
    constexpr int pastTargetLatencyPenalty = 100;
    // Keeps a request without a permit from being granted a slot at once.
    constexpr milliseconds shortestWait { 1 };

} // namespace

// Reservation is a slot that was granted to an entry, or that it waits for.
struct SlotReservations::Reservation {
    Ticket ticket = 0;
    std::string connection;
    Origin origin;
    int priority = 0;
    std::shared_ptr<http::Exchange> exchange; // null once granted
    bool isGranted = false;
    bool isProbe = false;
    bool isIdempotent = false;
    bool acceptsFailingTarget = false;
    std::unique_ptr<boost::asio::steady_timer> expiryTimer; // releases a granted slot whose request does not arrive
};

SlotReservations::SlotReservations(
    boost::asio::io_context& io, SlotQueue& slots, TargetHealth& health, dispatch::WarmUp& warmUp, Options options)
    : m_io(io)
    , m_slots(slots)
    , m_health(health)
    , m_warmUp(warmUp)
    , m_options(std::move(options))
    , m_waitTimer(io)
{
}

SlotReservations::~SlotReservations() { *m_isAlive = false; }

auto SlotReservations::reserve(
    const std::shared_ptr<http::Exchange>& exchange, const ReserveRequest& message, MonotonicTime now) -> void
{
    const auto admission = m_health.admit(message.isIdempotent || message.acceptsFailingTarget, now);
    if (admission == TargetHealth::Admission::Refused && !message.acceptsFailingTarget) {
        refuse(exchange, { message.requestId, message.clientAccount }, targetIsFailing, now);
        return;
    }
    release(exchange->peer());
    m_expired.erase(exchange->peer());
    const auto ticket = m_nextTicket++;
    const auto maximumWait = message.isPastTargetLatency
        ? message.maximumWait
        : std::min(message.maximumWait, message.targetLatencyLeft - m_slots.meanServiceTime());
    const SlotQueue::Request request { .ticket = ticket,
        .priority = message.priority + (message.isPastTargetLatency ? pastTargetLatencyPenalty : 0),
        .startDeadline = now + maximumWait,
        .clientAccount = message.clientAccount,
        .accountWeight = message.accountWeight };
    const auto meterWait = m_warmUp.waitFor(m_slots.requestsAhead(request), now);
    const bool hasPermit = meterWait.count() == 0 && m_warmUp.tryAcquire(now);
    if (!hasPermit && m_slots.load().running < m_slots.load().slots)
        ++m_heldBack;
    const auto decision = m_slots.reserve(request, now, hasPermit ? meterWait : std::max(meterWait, shortestWait));
    if (hasPermit && decision != SlotQueue::Decision::Granted)
        m_warmUp.giveBack();
    if (decision == SlotQueue::Decision::Refused) {
        if (admission == TargetHealth::Admission::Probe)
            m_health.endProbe();
        refuse(exchange, { message.requestId, message.clientAccount }, noSlotInTime, now);
        return;
    }
    const auto reservation = std::make_shared<Reservation>();
    reservation->ticket = ticket;
    reservation->connection = exchange->peer();
    reservation->origin = { message.requestId, message.clientAccount };
    reservation->priority = message.priority;
    reservation->exchange = exchange;
    reservation->isIdempotent = message.isIdempotent;
    reservation->acceptsFailingTarget = message.acceptsFailingTarget;
    reservation->isProbe = admission == TargetHealth::Admission::Probe;
    m_reservations[exchange->peer()] = reservation;
    if (decision == SlotQueue::Decision::Granted) {
        grant(*reservation, now);
        return;
    }
    m_waiting[ticket] = exchange->peer();
    armWaitTimer();
    refuseEvicted(now);
}

auto SlotReservations::grant(Reservation& reservation, MonotonicTime now) -> void
{
    reservation.isGranted = true;
    reservation.expiryTimer = std::make_unique<boost::asio::steady_timer>(m_io, m_options.timeout);
    reservation.expiryTimer->async_wait([this, alive = m_isAlive, connection = reservation.connection,
                                            ticket = reservation.ticket](const boost::system::error_code& error) {
        if (!error && *alive)
            expire(connection, ticket);
    });
    http::Answer response;
    m_options.addReport(response.headers, now);
    if (reservation.isIdempotent) {
        if (const auto calls = m_options.callsPerRequest(now); !calls.empty())
            response.headers.add(callsHeader, calls);
    }
    std::exchange(reservation.exchange, nullptr)->answer(std::move(response));
}

auto SlotReservations::refuse(const std::shared_ptr<http::Exchange>& exchange, const Origin& origin,
    std::string_view why, MonotonicTime now) -> void
{
    auto response = http::makeAnswer(http::statusUnavailable, "text/plain", std::string(why));
    response.headers.add(outcomeHeader, outcomeName(RunOutcome::NotSent));
    m_options.addReport(response.headers, now);
    log::logEvent(slotRefused,
        { { "request", origin.requestId }, { "account", origin.clientAccount }, { "why", std::string(why) },
            { "gave-way", origin.gaveWay ? "yes" : "no" },
            { "load", std::string(response.headers.find(loadHeader).value_or("")) },
            { "arrivals", std::string(response.headers.find(arrivalsHeader).value_or("")) } });
    exchange->answer(std::move(response));
}

auto SlotReservations::refuseWaiting(std::string_view why, MonotonicTime now) -> void
{
    while (!m_waiting.empty()) {
        const auto ticket = m_waiting.begin()->first;
        m_slots.cancel(ticket);
        refuseTicket(ticket, why, now);
    }
}

auto SlotReservations::refuseTicket(Ticket ticket, std::string_view why, MonotonicTime now, bool gaveWay) -> void
{
    const auto reservation = takeWaiting(ticket);
    if (!reservation)
        return;
    m_reservations.erase(reservation->connection);
    if (reservation->isProbe)
        m_health.endProbe();
    reservation->origin.gaveWay = gaveWay;
    refuse(reservation->exchange, reservation->origin, why, now);
}

auto SlotReservations::refuseEvicted(MonotonicTime now) -> void
{
    for (const auto ticket : m_slots.takeEvicted()) {
        ++m_gaveWay;
        refuseTicket(ticket, noSlotInTime, now, true);
    }
}

auto SlotReservations::takeWaiting(Ticket ticket) -> std::shared_ptr<Reservation>
{
    const auto waiting = m_waiting.find(ticket);
    if (waiting == m_waiting.end())
        return nullptr;
    const auto found = m_reservations.find(waiting->second);
    m_waiting.erase(waiting);
    return found == m_reservations.end() || found->second->ticket != ticket ? nullptr : found->second;
}

auto SlotReservations::take(const std::string& connection) -> std::optional<Slot>
{
    const auto found = m_reservations.find(connection);
    if (found == m_reservations.end() || !found->second->isGranted)
        return std::nullopt;
    const Slot slot { .ticket = found->second->ticket,
        .priority = found->second->priority,
        .isProbe = found->second->isProbe,
        .acceptsFailingTarget = found->second->acceptsFailingTarget };
    m_reservations.erase(found);
    return slot;
}

auto SlotReservations::release(const std::string& connection) -> void
{
    const auto found = m_reservations.find(connection);
    if (found == m_reservations.end())
        return;
    const auto reservation = found->second;
    m_reservations.erase(found);
    if (reservation->isProbe)
        m_health.endProbe();
    if (reservation->isGranted) {
        m_slots.release(std::nullopt, reservation->ticket);
        m_warmUp.giveBack();
        grantWaiting(monotonicNow());
        return;
    }
    m_slots.cancel(reservation->ticket);
    m_waiting.erase(reservation->ticket);
}

auto SlotReservations::expire(const std::string& connection, Ticket ticket) -> void
{
    // The request may have arrived in the same turn of the event loop.
    const auto found = m_reservations.find(connection);
    if (found == m_reservations.end() || found->second->ticket != ticket)
        return;
    release(connection);
    m_expired.insert(connection);
}

auto SlotReservations::onConnectionClosed(const std::string& connection) -> void
{
    release(connection);
    m_expired.erase(connection);
}

// Each response may lead to the next message of its connection, and with it to changes of all tables.
auto SlotReservations::grantWaiting(MonotonicTime now) -> void
{
    for (const auto ticket : m_slots.removeExpired(now))
        refuseTicket(ticket, noSlotInTime, now);
    while (!m_waiting.empty() && m_warmUp.tryAcquire(now)) {
        const auto ticket = m_slots.grantNext(now);
        const auto reservation = ticket ? takeWaiting(*ticket) : nullptr;
        if (reservation) {
            grant(*reservation, now);
            continue;
        }
        m_warmUp.giveBack();
        if (!ticket)
            break;
        m_slots.release(std::nullopt, ticket);
    }
    armWaitTimer();
}

// Arms the timer that refuses waiting requests which can no longer begin in time, and grants slots that were withheld
// after rejections by a full target or by the meter of arrivals.
auto SlotReservations::armWaitTimer() -> void
{
    constexpr milliseconds period { 50 };
    if (m_waiting.empty())
        return;
    m_waitTimer.expires_after(period);
    m_waitTimer.async_wait([this, alive = m_isAlive](const boost::system::error_code& error) {
        if (!error && *alive)
            grantWaiting(monotonicNow());
    });
}

} // namespace coriandergate::relay
