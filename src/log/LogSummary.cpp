#include "log/LogSummary.h"

#include "log/LogLine.h"

#include <algorithm>
#include <charconv>

namespace coriandergate::log {

using std::chrono::milliseconds;

namespace {

    // Numbers of the events that are summed up; docs/EVENTS.md lists them.
    enum Event {
        RequestEnded = 1900,
        AttemptEnded = 1901,
        SlotRefused = 1910,
        RunEnded = 1911,
    };

    constexpr int firstErrorStatus = 500;

    // A call made while a request runs has the id "request.call".
    auto runIdOf(std::string_view id) -> std::string_view { return id.substr(0, id.find('.')); }

    auto isCall(std::string_view id) -> bool { return id.find('.') != std::string_view::npos; }

    // Returns the field without which a line of `event` was cut off; empty for events that aren't summed up.
    auto requiredField(int event) -> std::string_view
    {
        switch (event) {
        case RequestEnded:
            return "status";
        case AttemptEnded:
        case RunEnded:
            return "outcome";
        case SlotRefused:
            return "why";
        default:
            return {};
        }
    }

    // Daemons write this line without a time.
    auto droppedLines(std::string_view line) -> std::uint64_t
    {
        constexpr std::string_view text = "text=\"log lines dropped\" count=";
        const auto at = line.find(text);
        if (at == std::string_view::npos)
            return 0;
        std::uint64_t count = 0;
        const auto digits = line.substr(at + text.size());
        std::from_chars(digits.data(), digits.data() + digits.size(), count);
        return count;
    }

} // namespace

auto LogSummary::addUnreadable() -> void
{
    ++m_lines.all;
    ++m_lines.unreadable;
}

auto LogSummary::noteTime(milliseconds time) -> void
{
    const bool isFirst = m_lines.counted == 0;
    m_first = isFirst ? time : std::min(m_first, time);
    m_last = isFirst ? time : std::max(m_last, time);
    ++m_lines.counted;
}

auto LogSummary::add(std::string_view source, std::string_view text) -> void
{
    const auto line = LogLine::parse(text);
    if (!line) {
        const auto dropped = droppedLines(text);
        m_lines.droppedByDaemons += dropped;
        ++m_lines.all;
        ++(dropped > 0 ? m_lines.ofOtherEvents : m_lines.unreadable);
        return;
    }
    ++m_lines.all;
    if (line->time() < m_options.from || line->time() >= m_options.to) {
        ++m_lines.outsideSpan;
        return;
    }
    const auto required = requiredField(line->event());
    if (required.empty()) {
        ++m_lines.ofOtherEvents;
        return;
    }
    if (!line->hasField(required)) {
        ++m_lines.unreadable;
        return;
    }
    noteTime(line->time());
    const auto origin = line->source().empty() ? source : line->source();
    switch (line->event()) {
    case RequestEnded:
        addEnd(*line);
        return;
    case AttemptEnded:
        addAttempt(*line);
        return;
    case SlotRefused:
        addSlotRefusal(origin, *line);
        return;
    case RunEnded:
        addRun(origin, *line);
        return;
    default:
        return;
    }
}

auto LogSummary::addEnd(const LogLine& line) -> void
{
    const auto id = line.field("request");
    const RequestTotals::End end { .status = static_cast<int>(line.number("status", 0)),
        .why = line.field("why"),
        .time = milliseconds(line.number("ms", 0)),
        .attempts = static_cast<std::uint64_t>(std::max<std::int64_t>(line.number("runs", 0), 0)),
        .rejections = static_cast<std::uint64_t>(std::max<std::int64_t>(line.number("rejections", 0), 0)) };
    const bool isGood = end.kind() == RequestTotals::Kind::Answered;
    m_routes[line.field("route")].add(end);
    m_services[line.field("service")].add(end);
    if (isCall(id)) {
        m_calls.add(end);
        if (!isGood) {
            m_joins.toRuns.addCause(runIdOf(id), line.time());
            m_joins.toRequests.addCause(runIdOf(id), line.time());
        }
        return;
    }
    m_requests.add(end);
    m_accounts[line.field("account")].add(end);
    m_intervals.at(line.time()).add(end);
    if (!isGood && end.attempts > 0)
        m_joins.toRequests.addEffect(id, line.time());
}

auto LogSummary::addAttempt(const LogLine& line) -> void
{
    m_name = line.field("step");
    m_name += ": ";
    m_name += line.field("outcome");
    // Reasons in which a peer is named would be too many.
    const auto why = line.field("why");
    if (why == "over the rate" || why == "retry budget exhausted") {
        m_name += ", ";
        m_name += why;
    }
    m_attempts.add(m_name);
}

auto LogSummary::addSlotRefusal(std::string_view source, const LogLine& line) -> void
{
    m_slotRefusals.add(line.field("why"));
    ++m_targets[source].slotRefusals;
}

auto LogSummary::addRun(std::string_view source, const LogLine& line) -> void
{
    const auto outcome = line.field("outcome");
    const auto status = line.number("status", 0);
    const bool isErrorResponse = outcome == "answered" && status >= firstErrorStatus;
    m_name = outcome;
    if (isErrorResponse)
        m_name += " with status " + std::to_string(status);
    m_runs.add(m_name);
    if (outcome == "not-sent")
        return;
    auto& target = m_targets[source];
    ++target.arrivals;
    ++m_arrivals;
    if (outcome == "not-run") {
        ++target.rejections;
        return;
    }
    if (outcome == "cancelled") {
        ++target.cancelled;
        return;
    }
    if (outcome == "answered" && !isErrorResponse)
        return;
    ++target.failures;
    if (!isCall(line.field("request")))
        m_joins.toRuns.addEffect(line.field("request"), line.time());
}

} // namespace coriandergate::log
