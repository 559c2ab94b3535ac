#include "testing/GrayTrace.h"

#include "health/ConsecutiveErrorDetector.h"
#include "health/EjectionDecider.h"
#include "health/EjectionLease.h"
#include "health/TargetObserver.h"

#include <cmath>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace coriandergate::testing {

using namespace health;
using namespace std::chrono_literals;

namespace {
    constexpr auto regularReport = 10s;
    constexpr auto urgentReport = 240ms;
    constexpr auto slots = 6;

    struct Target {
        std::unique_ptr<TargetObserver> observer;
        EjectionLease lease;
        ConsecutiveErrorDetector naive { {} };
        std::optional<MonotonicTime> naiveEjectedAt;
        MonotonicTime nextReport;
        MonotonicTime lastReport;
        std::optional<MonotonicTime> firstOutAt;
        bool isOut = false;
        int queued = 0;
        int inService = 0;
    };

    struct Event {
        MonotonicTime at;
        std::uint64_t number;
        std::function<void()> run;
        auto operator<(const Event& other) const -> bool
        {
            return at != other.at ? at > other.at : number > other.number;
        }
    };

    class Trace {
    public:
        explicit Trace(const GrayTraceOptions& options)
            : m_options(options)
            , m_random(options.seed)
            , m_decider({}, MonotonicTime())
            , m_targets(static_cast<std::size_t>(options.targets))
        {
            m_decider.setLeadershipUntil(MonotonicTime::max());
        }

        auto run() -> GrayTraceResult
        {
            for (std::size_t i = 0; i < m_targets.size(); ++i) {
                const TargetObserver::Identity identity { "ledger", std::to_string(i), slots };
                m_targets[i].observer = std::make_unique<TargetObserver>(identity, TargetObserver::Options(), m_now);
                m_targets[i].nextReport = m_now + 3s + std::chrono::milliseconds(m_random() % 1000);
                schedule(uniform() * 0.25s, [this, i] { endInterval(i); });
                schedule(uniform() * 0.1s, [this, i] { arrive(i); });
            }
            while (!m_events.empty() && m_events.top().at < MonotonicTime() + m_options.length) {
                const auto event = m_events.top();
                m_events.pop();
                m_now = event.at;
                event.run();
            }
            return summary();
        }

    private:
        using Seconds = std::chrono::duration<double>;

        auto uniform() -> double { return std::uniform_real_distribution<>(0, 1)(m_random); }

        auto schedule(Seconds delay, std::function<void()> run) -> void
        {
            m_events.push({ m_now + std::chrono::duration_cast<MonotonicDuration>(delay), ++m_number, std::move(run) });
        }

        auto faultStart() const -> MonotonicTime { return MonotonicTime() + m_options.faultAt; }

        auto isGray(std::size_t i) const -> bool
        {
            if (m_now < faultStart() || m_options.fault == GrayFault::None)
                return false;
            if (m_options.fault == GrayFault::Flapping && (m_now - faultStart()) % 10s >= 5s)
                return false;
            return m_options.fault == GrayFault::WholeService || i < static_cast<std::size_t>(m_options.grayTargets);
        }

        auto serviceTime(std::size_t i) -> Seconds
        {
            auto time = 0.0;
            switch (m_options.times) {
            case ServiceTimes::Lognormal:
                time = std::lognormal_distribution<>(std::log(0.02), 1)(m_random);
                break;
            case ServiceTimes::Pareto:
                time = 0.01 / std::pow(1 - uniform(), 1 / 1.5);
                break;
            case ServiceTimes::TwoModes:
                time = (uniform() < 0.1 ? 0.12 : 0.004) * (0.5 + uniform());
                break;
            }
            const auto isSlow = m_options.fault == GrayFault::Slow || m_options.fault == GrayFault::Flapping
                || m_options.fault == GrayFault::WholeService;
            if (isGray(i) && m_options.fault == GrayFault::Hung)
                return 5s;
            return Seconds(std::min(5.0, isGray(i) && isSlow ? time * m_options.slowdown : time));
        }

        auto outcome(std::size_t i, Seconds time) -> Outcome
        {
            if (time >= 5s)
                return Outcome::TimedOut;
            if (isGray(i) && uniform() < m_options.failureShare) {
                if (m_options.fault == GrayFault::Failing)
                    return Outcome::ServerError;
                if (m_options.fault == GrayFault::HalfAnswers)
                    return Outcome::TruncatedResponse;
            }
            return Outcome::Success;
        }

        auto arrive(std::size_t i) -> void
        {
            schedule(
                Seconds(std::exponential_distribution<>(m_options.ratePerTarget)(m_random)), [this, i] { arrive(i); });
            if (m_targets[i].lease.isHeld(m_now))
                return;
            ++m_result.requests;
            ++m_targets[i].queued;
            startNext(i);
        }

        auto startNext(std::size_t i) -> void
        {
            auto& target = m_targets[i];
            if (target.queued == 0 || target.inService == slots)
                return;
            --target.queued;
            ++target.inService;
            const auto ticket = target.observer->begin(m_now);
            const auto time = serviceTime(i);
            const auto ending = outcome(i, time);
            schedule(time, [this, i, ticket, ending] { finish(i, ticket, ending); });
        }

        auto finish(std::size_t i, const TargetObserver::Ticket& ticket, Outcome ending) -> void
        {
            auto& target = m_targets[i];
            --target.inService;
            target.observer->finish(ticket, ending, m_now);
            const auto elapsed = std::chrono::duration_cast<std::chrono::microseconds>(m_now - ticket.startedAt);
            if (target.naive.observe(ending, elapsed) && !target.naiveEjectedAt) {
                target.naiveEjectedAt = m_now;
                m_result.naiveFalseEjections += isFaulty(i) ? 0 : 1;
            }
            startNext(i);
        }

        auto endInterval(std::size_t i) -> void
        {
            schedule(0.25s, [this, i] { endInterval(i); });
            auto& target = m_targets[i];
            const auto isSuspicious = target.observer->endInterval(m_now);
            const auto isHeld = target.lease.isHeld(m_now);
            if (target.isOut && !isHeld)
                target.observer->restart(m_now);
            target.isOut = isHeld;
            m_outIntervals += isHeld && isFaulty(i) ? 1 : 0;
            const auto isUrgent = (isSuspicious || isHeld) && m_now - target.lastReport >= urgentReport;
            if (isUrgent || m_now >= target.nextReport)
                sendReport(i);
        }

        auto sendReport(std::size_t i) -> void
        {
            auto& target = m_targets[i];
            target.nextReport = m_now + regularReport;
            target.lastReport = m_now;
            auto report = target.observer->report(m_now);
            report.holdsEjectionLease = target.lease.isHeld(m_now);
            target.lease.recordReportSent(report.sequence, m_now);
            send([this, i, report] { receive(i, report); });
        }

        auto send(const std::function<void()>& run) -> void
        {
            ++m_result.messages;
            if (uniform() >= m_options.messageLoss)
                schedule(0.001s + uniform() * 0.02s, run);
            if (uniform() < m_options.messageLoss)
                schedule(0.001s + uniform() * 0.5s, run); // a second copy, late
        }

        auto receive(std::size_t i, const TargetReport& report) -> void
        {
            const auto answer = m_decider.receive(report, m_now);
            send([this, i, answer] { accept(i, answer); });
            for (const auto& peer : m_decider.peersToPoll(m_now))
                send([this, peer] { sendReport(std::stoul(peer)); });
        }

        auto accept(std::size_t i, const TargetReportResponse& answer) -> void
        {
            auto& target = m_targets[i];
            if (answer.baseline)
                target.observer->setBaseline(*answer.baseline);
            if (!answer.leaseDuration || !target.lease.accept(answer.sequence, *answer.leaseDuration) || target.isOut)
                return;
            target.isOut = true;
            m_result.falseEjections += isFaulty(i) ? 0 : 1;
            m_result.ejections += isFaulty(i) ? 1 : 0;
            if (isFaulty(i) && !target.firstOutAt)
                target.firstOutAt = m_now;
        }

        auto isFaulty(std::size_t i) const -> bool
        {
            return m_now >= faultStart() && m_options.fault != GrayFault::None
                && m_options.fault != GrayFault::WholeService && i < static_cast<std::size_t>(m_options.grayTargets);
        }

        auto since(const std::optional<MonotonicTime>& at, std::optional<std::chrono::milliseconds>& worst, bool& isAll)
            -> void
        {
            isAll = isAll && at && *at >= faultStart();
            if (isAll)
                worst = std::max(
                    worst.value_or(0ms), std::chrono::duration_cast<std::chrono::milliseconds>(*at - faultStart()));
        }

        auto summary() -> GrayTraceResult
        {
            auto areAllOut = m_options.fault != GrayFault::None && m_options.fault != GrayFault::WholeService;
            auto areAllOutNaively = areAllOut;
            for (std::size_t i = 0; i < std::min(m_targets.size(), static_cast<std::size_t>(m_options.grayTargets));
                 ++i) {
                since(m_targets[i].firstOutAt, m_result.detectedAfter, areAllOut);
                since(m_targets[i].naiveEjectedAt, m_result.naiveDetectedAfter, areAllOutNaively);
            }
            if (!areAllOut)
                m_result.detectedAfter.reset();
            if (!areAllOutNaively)
                m_result.naiveDetectedAfter.reset();
            const auto intervals = Seconds(m_options.length - m_options.faultAt) / 0.25s * m_options.grayTargets;
            m_result.grayShareOut = m_outIntervals / intervals;
            return m_result;
        }

        const GrayTraceOptions m_options;
        std::mt19937_64 m_random;
        EjectionDecider m_decider;
        std::vector<Target> m_targets;
        std::priority_queue<Event> m_events;
        std::uint64_t m_number = 0;
        MonotonicTime m_now {};
        double m_outIntervals = 0;
        GrayTraceResult m_result;
    };
}

auto runGrayTrace(const GrayTraceOptions& options) -> GrayTraceResult { return Trace(options).run(); }

} // namespace coriandergate::testing
