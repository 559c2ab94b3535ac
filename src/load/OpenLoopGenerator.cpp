#include "load/OpenLoopGenerator.h"

#include <QCoreApplication>
#include <QEventLoop>
#include <QTimer>

namespace coriandergate::load {

using std::chrono::duration;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

    constexpr std::size_t maximumIdleConnections = 4096;

    auto outcomeOf(const http::ExchangeResult& result) -> std::string
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
    , m_client({ .idleTimeout = milliseconds(10000), .maximumIdlePerPeer = maximumIdleConnections })
    , m_random(m_options.seed)
    , m_intervalSeconds(m_options.requestsPerSecond)
{
}

auto OpenLoopGenerator::nextInterval() -> MonotonicDuration
{
    return duration_cast<MonotonicDuration>(duration<double>(m_intervalSeconds(m_random)));
}

auto OpenLoopGenerator::run() -> LoadReport
{
    QEventLoop loop;
    QTimer timer;
    timer.setTimerType(Qt::PreciseTimer);
    const auto start = monotonicNow();
    m_endAt = start + m_options.duration;
    m_nextSendAt = start + nextInterval();
    QObject::connect(&timer, &QTimer::timeout, &loop, [this, &loop] {
        const auto now = monotonicNow();
        sendDue(now);
        if (m_nextSendAt >= m_endAt && m_inFlightRequests == 0)
            loop.quit();
    });
    timer.start(milliseconds(1));
    loop.exec();
    return m_report;
}

auto OpenLoopGenerator::sendDue(MonotonicTime now) -> void
{
    while (m_nextSendAt <= now && m_nextSendAt < m_endAt) {
        // Latency is measured from the timer tick that sends the request, not from when the request was due, so that it
        // does not include the delay of the timer.
        send(now);
        m_nextSendAt += nextInterval();
    }
}

auto OpenLoopGenerator::send(MonotonicTime sentAt) -> void
{
    ++m_inFlightRequests;
    auto request = m_options.request;
    if (m_options.addsIdempotencyKey)
        request.headers.replace(
            "Idempotency-Key", std::to_string(m_options.seed) + "-" + std::to_string(m_sentRequests));
    ++m_sentRequests;
    m_client.send(
        m_options.peer, request, { .timeout = m_options.timeout }, [this, sentAt](http::ExchangeResult result) {
            --m_inFlightRequests;
            m_report.add(monotonicNow() - sentAt, outcomeOf(result));
        });
}

} // namespace coriandergate::load
