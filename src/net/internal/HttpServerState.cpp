#include "net/internal/HttpServerState.h"

#include "log/Event.h"
#include "net/internal/HttpServerConnection.h"

namespace coriandergate::net::internal {

namespace {

    const log::Event connectionsReleased { 1980, log::Severity::Warning, "connections gave way",
        "clients hold more memory or connections than this server may use; the numbers are totals of requests refused, "
        "of clients disconnected that read no responses, and of idle connections closed for newer ones" };
    constexpr std::chrono::seconds reportPeriod { 1 };

    // Connections whose next request has just come are passed over; more tries would hold up the accepting of others.
    constexpr int closeTries = 8;

    auto budgetOptions(const HttpServer::Options& options) -> dispatch::ConnectionBudget::Options
    {
        return { .maximumBytes = options.maximumBufferedBytes, .maximumConnections = options.maximumConnections };
    }

} // namespace

HttpServerState::HttpServerState(const HttpServer::Options& serverOptions)
    : options(serverOptions)
    , budget(budgetOptions(serverOptions))
{
}

auto HttpServerState::setOptions(const HttpServer::Options& newOptions) -> void
{
    options = newOptions;
    budget.setOptions(budgetOptions(newOptions));
}

auto HttpServerState::releaseBytes(MonotonicTime now) -> void
{
    // Each round ends a request or a connection.
    while (const auto number = budget.selectForBytes(now)) {
        connections.at(*number)->release(now);
        reportReleases(now);
    }
}

auto HttpServerState::releaseConnection(MonotonicTime now) -> void
{
    for (int i = 0; i < closeTries; ++i) {
        const auto number = budget.hasRoomForConnection() ? std::nullopt : budget.selectForConnection();
        if (!number)
            return;
        const auto connection = connections.at(*number);
        if (connection->closeForRoom()) {
            ++released.idleConnections;
            reportReleases(now);
            return;
        }
        budget.recordTaken(*number, now);
    }
}

auto HttpServerState::reportReleases(MonotonicTime now) -> void
{
    if (now < nextReportAt)
        return;
    nextReportAt = now + reportPeriod;
    log::logEvent(connectionsReleased,
        { { "refused", std::to_string(released.requests) }, { "unread", std::to_string(released.unreadResponses) },
            { "idle", std::to_string(released.idleConnections) }, { "bytes", std::to_string(budget.bytes()) } });
}

} // namespace coriandergate::net::internal
