#include "dispatch/ConnectionBudget.h"

#include <chrono>

namespace coriandergate::dispatch {

namespace {

    constexpr std::size_t smallRequestsDivisor = 4; // part of the limit that small requests may take beyond it

    auto total(const ConnectionBudget::Usage& usage) -> std::size_t
    {
        return usage.arriving + usage.handled + usage.unread;
    }

    auto releasable(const ConnectionBudget::Usage& usage) -> std::size_t { return usage.arriving + usage.unread; }

} // namespace

auto ConnectionBudget::open(ConnectionId id, MonotonicTime now) -> void { m_connections[id].progressAt = now; }

auto ConnectionBudget::remove(Connection& connection) -> void
{
    m_bytes -= total(connection.usage);
    if (connection.isReleasing) {
        m_releasingBytes -= releasable(connection.usage);
        --m_releasing;
    }
    connection.isReleasing = false;
}

auto ConnectionBudget::close(ConnectionId id) -> void
{
    const auto found = m_connections.find(id);
    if (found == m_connections.end())
        return;
    remove(found->second);
    m_connections.erase(found);
}

auto ConnectionBudget::set(ConnectionId id, const Usage& usage, MonotonicTime now) -> void
{
    auto& connection = m_connections[id];
    if (connection.usage == usage && !connection.isReleasing)
        return;
    // The time before a request began doesn't count against it.
    if (releasable(connection.usage) == 0)
        connection.progressAt = now;
    remove(connection);
    connection.usage = usage;
    m_bytes += total(usage);
}

auto ConnectionBudget::recordRequest(ConnectionId id, MonotonicTime now) -> void
{
    auto& connection = m_connections[id];
    connection.hasSentRequest = true;
    connection.progressAt = now;
}

auto ConnectionBudget::recordTaken(ConnectionId id, MonotonicTime now) -> void { m_connections[id].progressAt = now; }

auto ConnectionBudget::beginRelease(ConnectionId id) -> void
{
    auto& connection = m_connections[id];
    if (connection.isReleasing)
        return;
    connection.isReleasing = true;
    ++m_releasing;
    m_releasingBytes += releasable(connection.usage);
}

auto ConnectionBudget::selectForBytes(MonotonicTime now) const -> std::optional<ConnectionId>
{
    const auto bytes = m_bytes - m_releasingBytes;
    if (bytes <= m_options.maximumBytes)
        return std::nullopt;
    const auto forSmall = m_options.maximumBytes / smallRequestsDivisor;
    const auto smallest = bytes <= m_options.maximumBytes + forSmall ? m_options.smallBytes : 0;
    std::optional<ConnectionId> selected;
    double mostByteSeconds = -1;
    for (const auto& [id, connection] : m_connections) {
        const auto held = releasable(connection.usage);
        if (connection.isReleasing || held <= smallest)
            continue;
        // A connection that has just begun counts as if it had held its bytes for a moment, so that size decides.
        constexpr std::chrono::duration<double> moment { 0.001 };
        const auto age = std::chrono::duration<double>(now - connection.progressAt) + moment;
        const auto byteSeconds = static_cast<double>(held) * age.count();
        if (byteSeconds > mostByteSeconds) {
            mostByteSeconds = byteSeconds;
            selected = id;
        }
    }
    return selected;
}

auto ConnectionBudget::selectForConnection() const -> std::optional<ConnectionId>
{
    std::optional<ConnectionId> selected;
    const Connection* best = nullptr;
    for (const auto& [id, connection] : m_connections) {
        if (connection.isReleasing || connection.usage.handled > 0)
            continue;
        const bool isBetter = !best || (best->hasSentRequest && !connection.hasSentRequest)
            || (best->hasSentRequest == connection.hasSentRequest && connection.progressAt < best->progressAt);
        if (isBetter) {
            best = &connection;
            selected = id;
        }
    }
    return selected;
}

} // namespace coriandergate::dispatch
