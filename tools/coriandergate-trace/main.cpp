#include "LogFile.h"
#include "log/LogSummary.h"
#include "log/LogSummaryFormat.h"
#include "log/RequestTrace.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cmath>
#include <docopt/docopt.h>
#include <functional>
#include <iomanip>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <unistd.h>

using namespace coriandergate;

namespace {

constexpr auto usage = R"(coriandergate-trace: what happened to requests, from the logs of several daemons

Usage:
  coriandergate-trace --summary [--json] [--from=<time>] [--to=<time>] [--top=<rows>] [<log>...]
  coriandergate-trace <request-id> [<log>...]
  coriandergate-trace (-h | --help)

Each log is the standard output of a daemon, or of several, gathered, plain or compressed by gzip; without any the
standard input is read.

With a request's id, the lines of the request and of the calls made while it ran are printed in the order of their time,
each with the time since the first and the log that it comes from.

Options:
  -h --help      Show this text.
  --summary      Who waited, was refused or failed, and of what: by route, client account, service, target and second.
  --json         The summary as JSON.
  --from=<time>  Only lines from this time on, in seconds since 1970 as in "time=".
  --to=<time>    Only lines before this time.
  --top=<rows>   Rows of each table, 1 to 1000 [default: 10].

The exit status is 0 when lines were printed or summed up, 1 when no line speaks of the request or none could be summed
up, 2 when a log can't be read to its end (the others are read) or an option's value is wrong.
)";

enum ExitStatus {
    Found = 0,
    NothingFound = 1,
    Unusable = 2,
};

using LineHandler = std::function<void(const std::string& source, std::string_view line)>;

// Returns false when a log could not be read to its end.
auto readLogs(const std::vector<std::string>& paths, const LineHandler& onLine, const std::function<void()>& onOverlong)
    -> bool
{
    bool areRead = true;
    const auto read = [&](LogFile&& file, const std::string& source) {
        Error reason;
        const bool isRead = file.readLines([&](std::string_view line) { onLine(source, line); }, onOverlong, reason);
        if (!isRead)
            std::cerr << reason.toText() << '\n';
        areRead = areRead && isRead;
    };
    if (paths.empty())
        read(LogFile(STDIN_FILENO), "stdin");
    for (const auto& path : paths)
        read(LogFile(path), path);
    return areRead;
}

auto printTrace(const std::string& id, const std::vector<std::string>& paths) -> int
{
    log::RequestTrace story(id);
    const bool areRead = readLogs(
        paths, [&story](const std::string& source, std::string_view line) { story.add(source, line); }, [] {});
    const auto lines = story.lines();
    for (const auto& line : lines)
        std::cout << "+" << std::fixed << std::setprecision(3) << line.time - lines.front().time << " s " << line.source
                  << ' ' << line.text << '\n';
    if (!areRead)
        return Unusable;
    if (lines.empty())
        std::cerr << "no line speaks of request " << id << '\n';
    return lines.empty() ? NothingFound : Found;
}

auto parseNumber(const docopt::value& text) -> std::optional<double>
{
    const auto& digits = text.asString();
    double number = 0;
    const auto result = std::from_chars(digits.data(), digits.data() + digits.size(), number);
    const bool isWhole = result.ec == std::errc() && result.ptr == digits.data() + digits.size();
    return isWhole && std::isfinite(number) ? std::optional(number) : std::nullopt;
}

// Sets `time` when the option is given; returns false when its value is no time.
auto readTime(const docopt::value& text, std::chrono::milliseconds& time) -> bool
{
    constexpr double latest = 1e11; // in seconds
    if (!text)
        return true;
    const auto seconds = parseNumber(text);
    if (!seconds || std::abs(*seconds) > latest)
        return false;
    time = std::chrono::milliseconds(std::llround(*seconds * 1000));
    return true;
}

auto printSummary(const std::map<std::string, docopt::value>& arguments) -> int
{
    constexpr double maximumRows = 1000;
    log::LogSummary::Options options;
    if (!readTime(arguments.at("--from"), options.from) || !readTime(arguments.at("--to"), options.to)) {
        std::cerr << "--from and --to are seconds since 1970, as in \"time=\"\n";
        return Unusable;
    }
    if (options.from >= options.to) {
        std::cerr << "--from must be before --to\n";
        return Unusable;
    }
    const auto rows = parseNumber(arguments.at("--top"));
    if (!rows || *rows < 1 || *rows > maximumRows || std::floor(*rows) != *rows) {
        std::cerr << "--top is a whole number from 1 to 1000\n";
        return Unusable;
    }
    log::LogSummary summary(options);
    const bool areRead = readLogs(
        arguments.at("<log>").asStringList(),
        [&summary](const std::string& source, std::string_view line) { summary.add(source, line); },
        [&summary] { summary.addUnreadable(); });
    const auto rowCount = static_cast<std::size_t>(*rows);
    if (arguments.at("--json").asBool())
        std::cout << log::summaryJson(summary, rowCount).dump(2, ' ', false, nlohmann::json::error_handler_t::replace)
                  << '\n';
    else
        std::cout << log::summaryText(summary, rowCount);
    if (!areRead)
        return Unusable;
    return summary.lines().counted > 0 ? Found : NothingFound;
}

} // namespace

auto main(int argc, char** argv) -> int
{
    const auto arguments = docopt::docopt(usage, { argv + 1, argv + argc }, true, "");
    if (arguments.at("--summary").asBool())
        return printSummary(arguments);
    return printTrace(arguments.at("<request-id>").asString(), arguments.at("<log>").asStringList());
}
