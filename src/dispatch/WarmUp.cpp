#include "dispatch/WarmUp.h"

#include <algorithm>
#include <cmath>

namespace coriandergate::dispatch {

using std::chrono::milliseconds;

namespace {

    // While nothing may be sent; longer than any deadline.
    constexpr milliseconds longestWait { 3600000 };

    auto millisecondsUntil(MonotonicTime time, MonotonicTime now) -> milliseconds
    {
        return std::max(milliseconds { 0 }, std::chrono::ceil<milliseconds>(time - now));
    }

    auto wholeRequests(double count) -> std::size_t
    {
        return static_cast<std::size_t>(std::max(0.0, std::floor(count)));
    }

} // namespace

WarmUp::WarmUp(MonotonicTime now, const Options& options)
    : m_options(options)
    , m_firstSendAt(now + options.window)
    , m_assumedColdSince(now)
{
}

auto WarmUp::setBound(const Bound& bound) -> void { m_bound = bound; }

auto WarmUp::assumeCold(MonotonicTime now) -> void { m_assumedColdSince = now; }

auto WarmUp::onHeartbeat(milliseconds coldRemaining, MonotonicTime now) -> void
{
    m_assumedColdSince.reset();
    m_coldUntil = now + coldRemaining;
}

auto WarmUp::isCold(MonotonicTime now) const -> bool
{
    if (!isMetered())
        return false;
    return m_assumedColdSince ? now < *m_assumedColdSince + m_bound->coldTime : now < m_coldUntil;
}

auto WarmUp::highestLimit() const -> std::size_t
{
    const auto bound = wholeRequests(m_bound->requestsPerSecond * m_bound->overage + m_bound->slack);
    return std::max<std::size_t>(1, bound - std::min(bound, m_options.margin));
}

// While the target is cold, the limit grows from the rate that it tolerates by the overage, along with the time.
auto WarmUp::limit(MonotonicTime now) const -> std::optional<std::size_t>
{
    if (!isLimited(now))
        return std::nullopt;
    if (!isCold(now))
        return highestLimit();
    double warmth = 0;
    if (!m_assumedColdSince && m_bound->coldTime.count() > 0) {
        const std::chrono::duration<double> remaining = m_coldUntil - now;
        const std::chrono::duration<double> coldTime = m_bound->coldTime;
        warmth = std::clamp(1 - remaining / coldTime, 0.0, 1.0);
    }
    const double factor = 1 + (std::max(1.0, m_bound->overage) - 1) * warmth;
    return std::clamp<std::size_t>(wholeRequests(m_bound->requestsPerSecond * factor), 1, highestLimit());
}

auto WarmUp::sentInWindow(MonotonicTime now) const -> std::size_t
{
    const auto first = std::upper_bound(m_sentAt.begin(), m_sentAt.end(), now - m_options.window);
    return static_cast<std::size_t>(m_sentAt.end() - first);
}

auto WarmUp::tryAcquire(MonotonicTime now) -> bool
{
    if (!m_bound)
        return false;
    if (isLimited(now) && waitFor(0, now).count() > 0)
        return false;
    ++m_permits;
    return true;
}

auto WarmUp::giveBack() -> void
{
    if (m_permits > 0)
        --m_permits;
}

auto WarmUp::maySend(MonotonicTime now) const -> bool
{
    if (!isLimited(now))
        return m_bound.has_value();
    return now >= m_firstSendAt && sentInWindow(now) < highestLimit();
}

auto WarmUp::recordSent(MonotonicTime now) -> void
{
    giveBack();
    // A bound may come into force at any time, so requests are recorded without one too, as many as it may need.
    constexpr std::size_t maximumRecorded = 4096;
    while (!m_sentAt.empty() && (m_sentAt.front() + m_options.window <= now || m_sentAt.size() >= maximumRecorded))
        m_sentAt.pop_front();
    m_sentAt.push_back(now);
}

auto WarmUp::waitFor(std::size_t ahead, MonotonicTime now) const -> milliseconds
{
    if (!m_bound)
        return longestWait;
    if (!isLimited(now))
        return milliseconds { 0 };
    const auto untilFirst = millisecondsUntil(m_firstSendAt, now);
    const auto most = *limit(now);
    const auto sent = sentInWindow(now);
    if (sent + m_permits + ahead < most)
        return untilFirst;
    const auto toLeave = sent + m_permits + ahead + 1 - most; // requests whose second must end first
    if (toLeave <= sent) {
        const auto leaving = m_sentAt[m_sentAt.size() - sent + toLeave - 1];
        return std::max(untilFirst, millisecondsUntil(leaving + m_options.window, now));
    }
    const auto windows = 1 + (toLeave - sent - 1) / most;
    return std::max(untilFirst, m_options.window * static_cast<milliseconds::rep>(windows));
}

auto WarmUp::arrivals(MonotonicTime now) const -> std::optional<TargetArrivals>
{
    const auto most = limit(now);
    if (!most)
        return std::nullopt;
    return TargetArrivals { .limit = *most, .used = sentInWindow(now) + m_permits };
}

} // namespace coriandergate::dispatch
