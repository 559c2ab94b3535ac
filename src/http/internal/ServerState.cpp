#include "http/internal/ServerState.h"

#include "http/internal/ServerConnection.h"
#include "log/Event.h"

namespace coriandergate::http::internal {

namespace {

    const log::Event connectionsReleased { 1981, log::Severity::Warning, "callers gave way",
        "callers hold more than maximum-buffered-bytes or maximum-connections allow; the numbers are totals of "
        "requests "
        "refused, of callers disconnected that read no responses, and of idle connections closed for newer ones" };
    constexpr std::chrono::seconds reportPeriod { 1 };

    // Connections beyond the limit whose places are being freed on the workers.
    constexpr std::size_t maximumAhead = 16;

} // namespace

ServerState::ServerState(const Server::Options& serverOptions, Server::Handler serverHandler)
    : options(serverOptions)
    , handler(std::move(serverHandler))
    , m_budget({ .maximumBytes = options.maximumBufferedBytes, .maximumConnections = options.maximumConnections })
{
}

auto ServerState::open(ServerConnection& connection, MonotonicTime now) -> ConnectionId
{
    const MutexLock lock(m_mutex);
    const auto id = m_nextId++;
    m_open.emplace(id, &connection);
    m_budget.open(id, now);
    return id;
}

auto ServerState::close(ConnectionId id) -> void
{
    const MutexLock lock(m_mutex);
    m_open.erase(id);
    m_budget.close(id);
}

auto ServerState::set(ConnectionId id, const Usage& usage, MonotonicTime now) -> bool
{
    const MutexLock lock(m_mutex);
    m_budget.set(id, usage, now);
    bool mustGiveWay = false;
    while (const auto selected = m_budget.selectForBytes(now)) {
        m_budget.beginRelease(*selected);
        if (*selected == id)
            mustGiveWay = true;
        else
            m_open.at(*selected)->postRelease();
        reportReleasesLocked(now);
    }
    return mustGiveWay;
}

auto ServerState::recordRequest(ConnectionId id, MonotonicTime now) -> void
{
    const MutexLock lock(m_mutex);
    m_budget.recordRequest(id, now);
}

auto ServerState::recordTaken(ConnectionId id, MonotonicTime now) -> void
{
    const MutexLock lock(m_mutex);
    m_budget.recordTaken(id, now);
}

auto ServerState::makeRoom(MonotonicTime now) -> Room
{
    if (connections < options.maximumConnections)
        return Room::Now;
    const MutexLock lock(m_mutex);
    const bool isBelowAhead = connections < options.maximumConnections + maximumAhead;
    // Accepted connections that are still on their way to their worker may turn out to be idle.
    const bool isSettling = m_budget.releasing() > 0 || connections > m_budget.connections();
    if (!isBelowAhead && isSettling)
        return Room::Soon;
    const auto selected = m_budget.selectForConnection();
    if (!selected)
        return isSettling ? Room::Soon : Room::None;
    m_budget.beginRelease(*selected);
    m_open.at(*selected)->postCloseForRoom();
    ++m_idleConnections;
    reportReleasesLocked(now);
    return isBelowAhead ? Room::Now : Room::Soon;
}

auto ServerState::reportReleasesLocked(MonotonicTime now) -> void
{
    if (now < m_nextReportAt)
        return;
    m_nextReportAt = now + reportPeriod;
    log::logEvent(connectionsReleased,
        { { "refused", std::to_string(m_refusedRequests) }, { "unread", std::to_string(m_unreadResponses) },
            { "idle", std::to_string(m_idleConnections) }, { "bytes", std::to_string(m_budget.bytes()) } });
}

auto ServerState::released() const -> Server::ReleaseCounters
{
    return { m_refusedRequests, m_unreadResponses, m_idleConnections };
}

} // namespace coriandergate::http::internal
