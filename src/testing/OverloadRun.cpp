#include "testing/OverloadRun.h"

#include "admission/SlotTable.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <numeric>
#include <queue>
#include <random>

namespace coriandergate::testing {

using namespace admission;

namespace {

    struct Request {
        unsigned account = 0;
        MonotonicTime deadline;
        MonotonicDuration takes {};
    };

    struct Completion {
        MonotonicTime at;
        std::size_t request = 0;
        Ticket ticket;

        friend auto operator<(const Completion& left, const Completion& right) -> bool { return left.at > right.at; }
    };

    class Run {
    public:
        explicit Run(const OverloadOptions& options)
            : m_options(options)
            , m_random(options.seed)
            , m_answered(options.accounts.size())
        {
            m_table.setTarget("service", "target", options.slots);
        }

        auto go() -> OverloadResult
        {
            const auto capacity = m_options.slots / std::chrono::duration<double>(m_options.meanServiceTime).count();
            std::exponential_distribution<> gap(capacity * m_options.load);
            const MonotonicTime end = MonotonicTime() + m_options.length;
            auto next = MonotonicTime();
            while (next < end) {
                next += std::chrono::duration_cast<MonotonicDuration>(std::chrono::duration<double>(gap(m_random)));
                while (!m_running.empty() && m_running.top().at <= next)
                    complete();
                arrive(next);
            }
            m_result.goodput = std::accumulate(m_answered.begin(), m_answered.end(), 0.0)
                / (capacity * std::chrono::duration<double>(m_options.length).count());
            m_result.worstShare = worstShare(capacity);
            return m_result;
        }

    private:
        auto arrive(MonotonicTime now) -> void
        {
            std::uniform_real_distribution<> point(0, 1);
            auto rest = point(m_random);
            unsigned account = 0;
            while (account + 1 < m_options.accounts.size() && rest >= m_options.accounts[account].share)
                rest -= m_options.accounts[account++].share;
            const auto sigma = m_options.serviceSpread;
            std::lognormal_distribution<> takes(-sigma * sigma / 2, sigma);
            m_requests.push_back({ account, now + m_options.deadline,
                std::chrono::duration_cast<MonotonicDuration>(m_options.meanServiceTime * takes(m_random)) });
            const auto number = m_requests.size() - 1;
            if (m_options.isNaive)
                submitNaive(number, now);
            else
                submit(number, now);
        }

        auto submit(std::size_t number, MonotonicTime now) -> void
        {
            const auto& request = m_requests[number];
            std::vector<DequeueDecision> others;
            const auto decision = m_table.submit(
                { "service", "account-" + std::to_string(request.account), Deadline(request.deadline) }, now, others);
            if (const auto* run = std::get_if<Admitted>(&decision))
                begin(number, run->ticket, now);
            if (const auto* queued = std::get_if<Queued>(&decision))
                m_byTicket[queued->ticket.value] = number;
            if (std::holds_alternative<Refused>(decision))
                ++m_result.refused;
            take(others, now);
        }

        auto submitNaive(std::size_t number, MonotonicTime now) -> void
        {
            constexpr std::size_t queueLimit = 512;
            if (m_running.size() < m_options.slots)
                begin(number, {}, now);
            else if (m_fifo.size() < queueLimit)
                m_fifo.push_back(number);
            else
                ++m_result.refused;
        }

        auto take(const std::vector<DequeueDecision>& dispatches, MonotonicTime now) -> void
        {
            for (const auto& dispatch : dispatches) {
                if (const auto* run = std::get_if<Admitted>(&dispatch))
                    begin(m_byTicket.at(run->ticket.value), run->ticket, now);
                else
                    ++m_result.refused;
            }
        }

        auto begin(std::size_t number, Ticket ticket, MonotonicTime now) -> void
        {
            m_running.push({ now + m_requests[number].takes, number, ticket });
            m_result.highestConcurrency
                = std::max(m_result.highestConcurrency, static_cast<unsigned>(m_running.size()));
        }

        auto complete() -> void
        {
            const auto done = m_running.top();
            m_running.pop();
            const auto& request = m_requests[done.request];
            if (done.at <= request.deadline)
                m_answered[request.account] += 1;
            else
                ++m_result.late;
            if (!m_options.isNaive) {
                std::vector<DequeueDecision> others;
                m_table.release(done.ticket, done.at, others);
                take(others, done.at);
            } else if (!m_fifo.empty()) {
                begin(m_fifo.front(), {}, done.at);
                m_fifo.pop_front();
            }
        }

        // The max-min fair share: what an account asks for, or an even part of what the smaller ones leave.
        [[nodiscard]] auto worstShare(double capacity) const -> double
        {
            std::vector<unsigned> order(m_answered.size());
            std::iota(order.begin(), order.end(), 0U);
            std::sort(order.begin(), order.end(), [this](unsigned left, unsigned right) {
                return m_options.accounts[left].share < m_options.accounts[right].share;
            });
            auto left = capacity * std::chrono::duration<double>(m_options.length).count();
            const auto offered = left * m_options.load;
            auto worst = 1e9;
            for (std::size_t place = 0; place < order.size(); ++place) {
                const auto even = left / static_cast<double>(order.size() - place);
                const auto fair = std::min(even, offered * m_options.accounts[order[place]].share);
                worst = std::min(worst, m_answered[order[place]] / fair);
                left -= fair;
            }
            return worst;
        }

        OverloadOptions m_options;
        OverloadResult m_result;
        std::mt19937_64 m_random;
        SlotTable m_table { {} };
        std::vector<Request> m_requests;
        std::priority_queue<Completion> m_running;
        std::map<std::uint64_t, std::size_t> m_byTicket;
        std::deque<std::size_t> m_fifo;
        std::vector<double> m_answered; // by the deadline, by account
    };

} // namespace

auto runOverload(const OverloadOptions& options) -> OverloadResult { return Run(options).go(); }

auto fewLargeAccounts() -> std::vector<OverloadAccount>
{
    constexpr double small = 0.1 / 6;
    return { { 0.6 }, { 0.3 }, { small }, { small }, { small }, { small }, { small }, { small } };
}

} // namespace coriandergate::testing
