#include "load/OpenLoopGenerator.h"

#include <QCoreApplication>
#include <QEventLoop>
#include <QTimer>

namespace coriandergate::load {

using std::chrono::duration;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

    constexpr std::size_t idleConnections = 4096;

    auto endingOf(const http::ExchangeResult& result) -> std::string
    {
        if (const auto* failure = std::get_if<http::ExchangeFailure>(&result))
            return "failed at " + failure->error.step;
        const auto& answer = std::get<http::Answer>(result);
        return std::to_string(answer.status) + " "
            + std::string(answer.headers.find("Coriandergate-Outcome").value_or("-"));
    }

} // namespace

OpenLoopGenerator::OpenLoopGenerator(Options options)
    : m_options(std::move(options))
    , m_client({ .idleTimeout = milliseconds(10000), .maximumIdlePerPeer = idleConnections })
    , m_random(m_options.seed)
    , m_gaps(m_options.requestsPerSecond)
{
}

auto OpenLoopGenerator::drawGap() -> MonotonicDuration
{
    return duration_cast<MonotonicDuration>(duration<double>(m_gaps(m_random)));
}

auto OpenLoopGenerator::run() -> LoadReport
{
    QEventLoop loop;
    QTimer timer;
    timer.setTimerType(Qt::PreciseTimer);
    const auto start = monotonicNow();
    m_end = start + m_options.duration;
    m_nextDue = start + drawGap();
    QObject::connect(&timer, &QTimer::timeout, &loop, [this, &loop] {
        const auto now = monotonicNow();
        sendDue(now);
        if (m_nextDue >= m_end && m_underWay == 0)
            loop.quit();
    });
    timer.start(milliseconds(1));
    loop.exec();
    return m_report;
}

auto OpenLoopGenerator::sendDue(MonotonicTime now) -> void
{
    while (m_nextDue <= now && m_nextDue < m_end) {
        // Latency counts from when the timer could send it: the loop's own step is not the peer's.
        send(now);
        m_nextDue += drawGap();
    }
}

auto OpenLoopGenerator::send(MonotonicTime due) -> void
{
    ++m_underWay;
    auto request = m_options.request;
    if (m_options.addsIdempotencyKey)
        request.headers.replace("Idempotency-Key", std::to_string(m_options.seed) + "-" + std::to_string(m_sent));
    ++m_sent;
    m_client.send(m_options.peer, request, { .timeout = m_options.timeout }, [this, due](http::ExchangeResult result) {
        --m_underWay;
        m_report.add(monotonicNow() - due, endingOf(result));
    });
}

} // namespace coriandergate::load
