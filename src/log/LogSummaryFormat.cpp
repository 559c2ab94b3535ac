#include "log/LogSummaryFormat.h"

#include "log/LogSummary.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <cstdio>
#include <ctime>
#include <functional>
#include <nlohmann/json.hpp>
#include <vector>

namespace coriandergate::log {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

    auto decimal(double value, int digits) -> std::string
    {
        std::array<char, 64> text {};
        std::snprintf(text.data(), text.size(), "%.*f", digits, value);
        return text.data();
    }

    auto percent(std::uint64_t part, std::uint64_t whole) -> std::string
    {
        return whole == 0 ? "-" : decimal(100.0 * static_cast<double>(part) / static_cast<double>(whole), 2) + "%";
    }

    auto perRequest(std::uint64_t count, std::uint64_t requests) -> std::string
    {
        return requests == 0 ? "-" : decimal(static_cast<double>(count) / static_cast<double>(requests), 2);
    }

    auto secondsOf(milliseconds time) -> double { return std::chrono::duration<double>(time).count(); }

    auto dateText(milliseconds time) -> std::string
    {
        const auto seconds = static_cast<std::time_t>(std::chrono::floor<std::chrono::seconds>(time).count());
        std::tm date {};
        ::gmtime_r(&seconds, &date);
        std::array<char, 64> text {};
        std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &date);
        return text.data();
    }

    auto reasonsText(const ReasonCounts& reasons) -> std::string
    {
        std::string text;
        for (const auto& row : reasons.sorted())
            text += (text.empty() ? "" : ", ") + row.reason + " " + std::to_string(row.count);
        return text;
    }

    // Table aligns its first column to the left and the others to the right. Notes stand below their row.
    class Table {
    public:
        using Cells = std::vector<std::string>;

        explicit Table(Cells head) { m_rows.push_back({ std::move(head), {} }); }

        auto add(Cells cells, std::vector<std::string> notes = {}) -> void
        {
            m_rows.push_back({ std::move(cells), std::move(notes) });
        }

        [[nodiscard]] auto text() const -> std::string
        {
            std::vector<std::size_t> widths;
            for (const auto& row : m_rows) {
                widths.resize(std::max(widths.size(), row.cells.size()));
                for (std::size_t i = 0; i < row.cells.size(); ++i)
                    widths[i] = std::max(widths[i], row.cells[i].size());
            }
            std::string text;
            for (const auto& row : m_rows) {
                text += "  ";
                for (std::size_t i = 0; i < row.cells.size(); ++i) {
                    const std::string padding(widths[i] - row.cells[i].size(), ' ');
                    text += i == 0 ? row.cells[i] + padding : "  " + padding + row.cells[i];
                }
                text += '\n';
                for (const auto& note : row.notes)
                    text += "      " + note + '\n';
            }
            return text;
        }

    private:
        struct Row {
            Cells cells;
            std::vector<std::string> notes;
        };
        std::vector<Row> m_rows;
    };

    auto totalsHead(const std::string& name) -> Table::Cells
    {
        return { name, "requests", "answered", "refused", "failed", "left", "lost", "mean", "p50", "p95", "p99 ms",
            "refused p50", "p99 ms", "attempts", "rejections" };
    }

    auto addTotals(Table& table, std::string name, const RequestTotals& totals) -> void
    {
        const auto number = [](auto value) { return std::to_string(value); };
        const auto quantile = [](const TimeHistogram& times, double fraction) {
            return std::to_string(times.quantile(fraction).count());
        };
        Table::Cells cells { std::move(name), number(totals.requests), number(totals.answered),
            number(totals.refused.total()), number(totals.failed.total()), number(totals.callerLeft),
            percent(totals.lost(), totals.requests), number(totals.times.mean().count()), quantile(totals.times, 0.5),
            quantile(totals.times, 0.95), quantile(totals.times, 0.99), quantile(totals.refusalTimes, 0.5),
            quantile(totals.refusalTimes, 0.99), perRequest(totals.attempts, totals.requests),
            perRequest(totals.rejections, totals.requests) };
        std::vector<std::string> notes;
        if (totals.refused.total() > 0)
            notes.push_back("refused: " + reasonsText(totals.refused));
        if (totals.failed.total() > 0)
            notes.push_back("failed: " + reasonsText(totals.failed));
        table.add(std::move(cells), std::move(notes));
    }

    // Avoids a literal before operator+, for which g++ 12 warns of overlapping copies without cause.
    auto moreText(std::uint64_t names) -> std::string
    {
        auto text = std::to_string(names);
        text.insert(text.begin(), '(');
        text += " more)";
        return text;
    }

    auto nameText(std::string_view name) -> std::string { return name.empty() ? "(not logged)" : std::string(name); }

    // Returns the sum of what stands behind the first `rows` rows, and its number of names in `names`.
    template <typename Value>
    auto sumRest(const BoundedTable<Value>& table, std::size_t rows, std::uint64_t& names) -> Value
    {
        auto rest = table.rest();
        const auto sorted = table.sorted();
        names = table.merged() + (sorted.size() > rows ? sorted.size() - rows : 0);
        for (std::size_t i = rows; i < sorted.size(); ++i)
            rest.merge(*sorted[i].value);
        return rest;
    }

    auto groupText(const std::string& name, const BoundedTable<RequestTotals>& groups, std::size_t rows) -> std::string
    {
        Table table(totalsHead(name));
        const auto sorted = groups.sorted();
        for (std::size_t i = 0; i < std::min(rows, sorted.size()); ++i)
            addTotals(table, nameText(sorted[i].name), *sorted[i].value);
        std::uint64_t names = 0;
        const auto rest = sumRest(groups, rows, names);
        if (names > 0)
            addTotals(table, moreText(names), rest);
        return table.text();
    }

    auto intervalsText(const LogSummary& summary, std::size_t rows) -> std::string
    {
        const auto& intervals = summary.intervals();
        using Row = std::pair<std::int64_t, const RequestTotals*>;
        std::vector<Row> worst;
        for (const auto& [number, totals] : intervals.rows())
            worst.emplace_back(number, &totals);
        const auto width = intervals.width().count();
        const auto heading = "\nworst of " + std::to_string(worst.size()) + " intervals of " + std::to_string(width)
            + " s, in order of time\n";
        std::stable_sort(worst.begin(), worst.end(),
            [](const Row& left, const Row& right) { return left.second->weight() > right.second->weight(); });
        worst.resize(std::min(rows, worst.size()));
        std::sort(worst.begin(), worst.end());
        Table table(totalsHead("from"));
        for (const auto& [number, totals] : worst)
            addTotals(table, std::to_string(number * width), *totals);
        return heading + table.text();
    }

    auto targetsText(const LogSummary& summary, std::size_t rows) -> std::string
    {
        Table table({ "target", "arrivals", "share", "rejections", "of them", "failures", "of them", "cancelled",
            "slots refused" });
        const auto add = [&table, &summary](std::string name, const TargetTotals& target) {
            table.add({ std::move(name), std::to_string(target.arrivals), percent(target.arrivals, summary.arrivals()),
                std::to_string(target.rejections), percent(target.rejections, target.arrivals),
                std::to_string(target.failures), percent(target.failures, target.arrivals),
                std::to_string(target.cancelled), std::to_string(target.slotRefusals) });
        };
        const auto sorted = summary.targets().sorted();
        for (std::size_t i = 0; i < std::min(rows, sorted.size()); ++i)
            add(std::string(sorted[i].name), *sorted[i].value);
        std::uint64_t names = 0;
        const auto rest = sumRest(summary.targets(), rows, names);
        if (names > 0)
            add(moreText(names), rest);
        return table.text();
    }

    auto countsText(const std::string& heading, const ReasonCounts& counts) -> std::string
    {
        return heading + std::to_string(counts.total())
            + (counts.total() > 0 ? " (" + reasonsText(counts) + ")" : std::string()) + "\n";
    }

    auto linesText(const LogSummary& summary) -> std::string
    {
        const auto& lines = summary.lines();
        return std::to_string(lines.all) + " lines: " + std::to_string(lines.counted) + " counted, "
            + std::to_string(lines.ofOtherEvents) + " of other events, " + std::to_string(lines.outsideSpan)
            + " outside the span, " + std::to_string(lines.unreadable) + " unreadable; daemons dropped "
            + std::to_string(lines.droppedByDaemons) + " more\n";
    }

    auto joinsText(const LogSummary& summary) -> std::string
    {
        const auto& joins = summary.joins();
        const auto forgotten = joins.toRuns.forgotten() + joins.toRequests.forgotten();
        const auto& calls = summary.calls();
        return "after one of its calls was refused or failed (" + std::to_string(calls.lost()) + " of "
            + std::to_string(calls.requests) + " calls): the run failed at its target for "
            + std::to_string(joins.toRuns.joined()) + " requests; the caller got no good response to "
            + std::to_string(joins.toRequests.joined())
            + (forgotten > 0 && calls.requests > 0
                    ? "; at least, as " + std::to_string(forgotten) + " ids were forgotten"
                    : std::string())
            + "\n";
    }

    auto timesJson(const TimeHistogram& times) -> json
    {
        return { { "mean", times.mean().count() }, { "p50", times.quantile(0.5).count() },
            { "p95", times.quantile(0.95).count() }, { "p99", times.quantile(0.99).count() } };
    }

    auto reasonsJson(const ReasonCounts& reasons) -> json
    {
        auto object = json::object();
        for (const auto& row : reasons.sorted())
            object[row.reason] = row.count;
        return object;
    }

    auto totalsJson(const RequestTotals& totals) -> json
    {
        return { { "requests", totals.requests }, { "answered", totals.answered },
            { "refused", reasonsJson(totals.refused) }, { "failed", reasonsJson(totals.failed) },
            { "callerLeft", totals.callerLeft }, { "lost", totals.lost() }, { "milliseconds", timesJson(totals.times) },
            { "refusalMilliseconds", timesJson(totals.refusalTimes) }, { "attempts", totals.attempts },
            { "rejections", totals.rejections } };
    }

    auto targetJson(const TargetTotals& target) -> json
    {
        return { { "arrivals", target.arrivals }, { "rejections", target.rejections }, { "failures", target.failures },
            { "cancelled", target.cancelled }, { "slotRefusals", target.slotRefusals } };
    }

    template <typename Value>
    auto tableJson(const BoundedTable<Value>& table, std::size_t rows, const std::function<json(const Value&)>& toJson)
        -> json
    {
        auto list = json::array();
        const auto sorted = table.sorted();
        for (std::size_t i = 0; i < std::min(rows, sorted.size()); ++i) {
            auto row = toJson(*sorted[i].value);
            row["name"] = sorted[i].name;
            list.push_back(std::move(row));
        }
        std::uint64_t names = 0;
        auto rest = toJson(sumRest(table, rows, names));
        rest["names"] = names;
        return { { "rows", std::move(list) }, { "rest", std::move(rest) } };
    }

    auto intervalsJson(const TimeBuckets& intervals) -> json
    {
        auto list = json::array();
        for (const auto& [number, totals] : intervals.rows()) {
            auto row = totalsJson(totals);
            row["from"] = number * intervals.width().count();
            list.push_back(std::move(row));
        }
        return { { "seconds", intervals.width().count() }, { "rows", std::move(list) } };
    }

} // namespace

auto summaryText(const LogSummary& summary, std::size_t rows) -> std::string
{
    auto text = linesText(summary);
    text += "from " + decimal(secondsOf(summary.first()), 3) + " to " + decimal(secondsOf(summary.last()), 3) + " ("
        + dateText(summary.first()) + ", " + decimal(secondsOf(summary.last() - summary.first()), 3) + " s)\n\n";
    Table all(totalsHead("all"));
    addTotals(all, "callers' requests", summary.requests());
    addTotals(all, "calls between targets", summary.calls());
    text += all.text();
    text += '\n';
    text += joinsText(summary);
    text += countsText("slots refused by daemons: ", summary.slotRefusals());
    text += countsText("runs at targets: ", summary.runs());
    text += countsText("attempts without the caller's response: ", summary.attempts());
    text += '\n';
    text += groupText("route", summary.routes(), rows);
    text += '\n';
    text += groupText("account", summary.accounts(), rows);
    text += '\n';
    text += groupText("service", summary.services(), rows);
    text += '\n';
    text += targetsText(summary, rows);
    text += intervalsText(summary, rows);
    return text;
}

auto summaryJson(const LogSummary& summary, std::size_t rows) -> json
{
    const auto& lines = summary.lines();
    const auto& joins = summary.joins();
    const std::function<json(const RequestTotals&)> toRow = totalsJson;
    const std::function<json(const TargetTotals&)> toTarget = targetJson;
    return { { "lines",
                 { { "all", lines.all }, { "counted", lines.counted }, { "ofOtherEvents", lines.ofOtherEvents },
                     { "outsideSpan", lines.outsideSpan }, { "unreadable", lines.unreadable },
                     { "droppedByDaemons", lines.droppedByDaemons } } },
        { "from", secondsOf(summary.first()) }, { "to", secondsOf(summary.last()) },
        { "requests", totalsJson(summary.requests()) }, { "calls", totalsJson(summary.calls()) },
        { "afterLostCalls",
            { { "runsFailed", joins.toRuns.joined() }, { "requestsLost", joins.toRequests.joined() },
                { "forgottenIds", joins.toRuns.forgotten() + joins.toRequests.forgotten() } } },
        { "slotRefusals", reasonsJson(summary.slotRefusals()) }, { "runs", reasonsJson(summary.runs()) },
        { "attemptsWithoutResponse", reasonsJson(summary.attempts()) },
        { "routes", tableJson(summary.routes(), rows, toRow) },
        { "accounts", tableJson(summary.accounts(), rows, toRow) },
        { "services", tableJson(summary.services(), rows, toRow) },
        { "targets", tableJson(summary.targets(), rows, toTarget) },
        { "intervals", intervalsJson(summary.intervals()) } };
}

} // namespace coriandergate::log
