#include "soak/SoakRun.h"

#include <algorithm>
#include <docopt/docopt.h>
#include <fstream>
#include <iostream>
#include <sstream>

using namespace coriandergate::soak;

namespace {

constexpr auto usage = R"(coriandergate-soak: real daemons under drawn faults, with every promise checked

Usage:
  coriandergate-soak [--seed=N] [--runs=N] [--seconds=N] [--hosts=N] [--faults=LIST]
                      [--sidecar=FILE] [--json=FILE]
  coriandergate-soak --list
  coriandergate-soak (-h | --help)

Options:
  --seed=N        seed of the first run [default: 1]
  --runs=N        runs, each with the next seed [default: 1]
  --seconds=N     length of each run [default: 20]
  --hosts=N       hosts of the fleet, 2 to 60 [default: 6]
  --faults=LIST   names of faults, separated by commas; all when left out
  --sidecar=FILE  the daemon's program, such as one of an earlier version; that of the same build when left out
  --json=FILE     the last report, for programs
  --list          the names of all faults

The result is 1 when a promise was broken.
)";

auto parseFaults(const std::string& list, std::vector<FaultKind>& kinds) -> bool
{
    std::istringstream names(list);
    for (std::string name; std::getline(names, name, ',');) {
        const auto all = allFaults();
        const auto found
            = std::find_if(all.begin(), all.end(), [&name](FaultKind kind) { return faultName(kind) == name; });
        if (found == all.end()) {
            std::cerr << "read arguments (--faults): unknown fault '" << name << "'; see --list\n";
            return false;
        }
        kinds.push_back(*found);
    }
    return true;
}

auto runAll(SoakOptions options, long runs, const std::string& jsonPath) -> int
{
    int broken = 0;
    for (long run = 0; run < runs; ++run, ++options.plan.seed) {
        std::ostringstream faults;
        const auto report = runSoak(options, faults);
        std::cout << toText(report);
        if (!report.violations.empty()) {
            ++broken;
            std::cout << faults.str();
        }
        std::cout << std::flush;
        if (!jsonPath.empty())
            std::ofstream(jsonPath) << toJson(report) << '\n';
    }
    std::cout << runs << " runs, " << broken << " with a broken promise\n";
    return broken == 0 ? 0 : 1;
}

} // namespace

auto main(int argc, char** argv) -> int
{
    auto arguments = docopt::docopt(usage, { argv + 1, argv + argc }, true, "");
    if (arguments["--list"].asBool()) {
        for (const auto kind : allFaults())
            std::cout << faultName(kind) << '\n';
        return 0;
    }
    constexpr long fewestHosts = 2;
    constexpr long mostHosts = 60; // three processes each
    SoakOptions options;
    options.plan.seed = static_cast<std::uint64_t>(arguments["--seed"].asLong());
    options.plan.length = std::chrono::seconds(std::max(1L, arguments["--seconds"].asLong()));
    const long hosts = arguments["--hosts"].asLong();
    if (hosts < fewestHosts || hosts > mostHosts) {
        std::cerr << "read arguments (--hosts): 2 to 60 are needed\n";
        return 2;
    }
    options.plan.hosts = static_cast<std::size_t>(hosts);
    if (arguments["--faults"].isString() && !parseFaults(arguments["--faults"].asString(), options.plan.kinds))
        return 2;
    if (arguments["--sidecar"].isString())
        options.daemonProgram = arguments["--sidecar"].asString();
    const auto json = arguments["--json"].isString() ? arguments["--json"].asString() : "";
    return runAll(options, arguments["--runs"].asLong(), json);
}
