#include "log/RequestTrace.h"

#include <docopt/docopt.h>
#include <fstream>
#include <iomanip>
#include <iostream>

using namespace coriandergate;

namespace {

constexpr auto usage = R"(coriandergate-trace: the story of one request from the logs of several daemons

Usage:
  coriandergate-trace <request-id> [<log>...]
  coriandergate-trace (-h | --help)

Each log is the standard output of a daemon, or of several, gathered; without any the standard input is read.
The lines of the request and of the calls made while it ran are printed in the order of their time, each with the time
since the first and the log that it comes from. The result is 1 when no line speaks of the request.
)";

auto readLog(log::RequestTrace& story, const std::string& source, std::istream& log) -> void
{
    for (std::string line; std::getline(log, line);)
        story.add(source, line);
}

} // namespace

auto main(int argc, char** argv) -> int
{
    auto arguments = docopt::docopt(usage, { argv + 1, argv + argc }, true, "");
    const auto id = arguments["<request-id>"].asString();
    log::RequestTrace story(id);
    const auto logs = arguments["<log>"].asStringList();
    if (logs.empty())
        readLog(story, "stdin", std::cin);
    for (const auto& path : logs) {
        std::ifstream log(path);
        if (!log) {
            std::cerr << "read log (" << path << "): the file can't be opened\n";
            return 2;
        }
        readLog(story, path, log);
    }
    const auto lines = story.lines();
    if (lines.empty()) {
        std::cerr << "no line speaks of request " << id << '\n';
        return 1;
    }
    for (const auto& line : lines)
        std::cout << "+" << std::fixed << std::setprecision(3) << line.time - lines.front().time << " s " << line.source
                  << ' ' << line.text << '\n';
    return 0;
}
