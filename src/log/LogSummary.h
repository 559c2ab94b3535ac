// Sums up the log lines of daemons: who waited, was refused or failed, of what, and which callers pay for it.
//
//   LogSummary summary({});
//   for (std::string line; std::getline(log, line);)
//       summary.add("rajkot-a-1", line);
//   std::cout << summaryText(summary, 10);
//
// Lines may come in any order, also across daemons. The state is bounded. Counts of all requests, calls, services,
// intervals and reasons are exact; quantiles are off by at most 2%. Once there are more than 2,048 client accounts,
// targets, routes or services (twice s_maximumNames), those that lost least are merged into a rest, and an account that
// comes back after that is counted anew. joins() miss pairs further apart than s_rememberedIds ids.
#pragma once

#include "log/BoundedTable.h"
#include "log/CauseJoin.h"
#include "log/ReasonCounts.h"
#include "log/RequestTotals.h"
#include "log/TargetTotals.h"
#include "log/TimeBuckets.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace coriandergate::log {

class LogLine;

// LogSummary is used by one thread.
class LogSummary {
public:
    static constexpr std::size_t s_maximumNames = 1024;
    static constexpr std::size_t s_maximumIntervals = 600;
    static constexpr std::size_t s_rememberedIds = 131072;

    struct Options {
        // Lines from `from` on and before `to` count; times since the Unix epoch.
        std::chrono::milliseconds from = std::chrono::milliseconds::min();
        std::chrono::milliseconds to = std::chrono::milliseconds::max();
    };

    // Lines counts what became of each line.
    struct Lines {
        std::uint64_t all = 0;
        std::uint64_t counted = 0;
        std::uint64_t ofOtherEvents = 0;
        std::uint64_t outsideSpan = 0;
        std::uint64_t unreadable = 0;
        std::uint64_t droppedByDaemons = 0; // never written; daemons say only how many
    };

    // Joins tells what came after calls, made by targets while they ran requests, that failed or were refused. Each
    // request counts once.
    struct Joins {
        CauseJoin toRuns { s_rememberedIds }; // runs that failed at the target
        CauseJoin toRequests {
            s_rememberedIds
        }; // requests that had been sent to a target and ended without a response
    };

    explicit LogSummary(Options options)
        : m_options(options)
    {
    }

    // add() takes one line without its line break. Text before "time=" is a log collector's prefix, whose last word
    // replaces `source`.
    auto add(std::string_view source, std::string_view line) -> void;

    // addUnreadable() counts a line that a reader gave up on.
    auto addUnreadable() -> void;

    [[nodiscard]] auto lines() const -> const Lines& { return m_lines; }

    // first() and last() are the times of the first and last line that counted; 0 when there is none.
    [[nodiscard]] auto first() const -> std::chrono::milliseconds { return m_first; }
    [[nodiscard]] auto last() const -> std::chrono::milliseconds { return m_last; }

    // requests() are those of callers, calls() those between targets.
    [[nodiscard]] auto requests() const -> const RequestTotals& { return m_requests; }
    [[nodiscard]] auto calls() const -> const RequestTotals& { return m_calls; }

    // routes() and services() hold requests and calls, accounts() and intervals() requests alone. Where a line
    // names neither route nor account, as older daemons' lines on callers that left, the name is empty.
    [[nodiscard]] auto routes() const -> const BoundedTable<RequestTotals>& { return m_routes; }
    [[nodiscard]] auto services() const -> const BoundedTable<RequestTotals>& { return m_services; }
    [[nodiscard]] auto accounts() const -> const BoundedTable<RequestTotals>& { return m_accounts; }
    [[nodiscard]] auto intervals() const -> const TimeBuckets& { return m_intervals; }

    // targets() are by source, since a daemon has one target; arrivals() are those of all.
    [[nodiscard]] auto targets() const -> const BoundedTable<TargetTotals>& { return m_targets; }
    [[nodiscard]] auto arrivals() const -> std::uint64_t { return m_arrivals; }

    // slotRefusals() are by reason, attempts() those without the caller's response by step and outcome.
    [[nodiscard]] auto slotRefusals() const -> const ReasonCounts& { return m_slotRefusals; }
    [[nodiscard]] auto attempts() const -> const ReasonCounts& { return m_attempts; }
    [[nodiscard]] auto runs() const -> const ReasonCounts& { return m_runs; }
    [[nodiscard]] auto joins() const -> const Joins& { return m_joins; }

private:
    auto addEnd(const LogLine& line) -> void;
    auto addAttempt(const LogLine& line) -> void;
    auto addSlotRefusal(std::string_view source, const LogLine& line) -> void;
    auto addRun(std::string_view source, const LogLine& line) -> void;
    auto noteTime(std::chrono::milliseconds time) -> void;

    Options m_options;
    Lines m_lines;
    std::chrono::milliseconds m_first { 0 };
    std::chrono::milliseconds m_last { 0 };
    RequestTotals m_requests;
    RequestTotals m_calls;
    BoundedTable<RequestTotals> m_routes { s_maximumNames };
    BoundedTable<RequestTotals> m_services { s_maximumNames };
    BoundedTable<RequestTotals> m_accounts { s_maximumNames };
    TimeBuckets m_intervals { s_maximumIntervals };
    BoundedTable<TargetTotals> m_targets { s_maximumNames };
    std::uint64_t m_arrivals = 0;
    ReasonCounts m_slotRefusals;
    ReasonCounts m_attempts;
    ReasonCounts m_runs;
    Joins m_joins;
    std::string m_name; // kept for its memory
};

} // namespace coriandergate::log
