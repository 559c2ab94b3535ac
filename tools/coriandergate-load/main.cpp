// Sends an open-loop load to one address and reports latencies and endings.
#include "load/OpenLoopGenerator.h"

#include <QCoreApplication>
#include <docopt/docopt.h>
#include <fstream>
#include <iostream>

namespace {

constexpr char usage[] = R"(coriandergate-load - sends an open-loop load and reports latencies and endings

Usage:
  coriandergate-load [--header=<line>]... [options] <address>
  coriandergate-load (-h | --help)
  coriandergate-load --version

Options:
  -h --help            Show this text.
  --version            Show the version.
  --rate=<number>      Requests a second [default: 100].
  --seconds=<number>   Length of the run, at most 600 [default: 5].
  --seed=<number>      Of the arrival times [default: 1].
  --method=<name>      Method [default: GET].
  --path=<path>        Request target [default: /].
  --body=<text>        Body [default: ].
  --header=<line>      "Name: value", as often as needed.
  --once               A fresh Idempotency-Key for each request.
  --json               Report as JSON.
  --plot=<file>        Write a plot of the latencies as SVG.
)";

constexpr double maximumSeconds = 600;

auto readOptions(std::map<std::string, docopt::value>& arguments) -> coriandergate::load::OpenLoopGenerator::Options
{
    coriandergate::load::OpenLoopGenerator::Options options;
    options.peer = arguments["<address>"].asString();
    options.requestsPerSecond = std::stod(arguments["--rate"].asString());
    const auto seconds = std::min(maximumSeconds, std::stod(arguments["--seconds"].asString()));
    options.duration = std::chrono::milliseconds(static_cast<std::int64_t>(seconds * 1000));
    options.seed = std::stoull(arguments["--seed"].asString());
    options.request.method = arguments["--method"].asString();
    options.request.target = arguments["--path"].asString();
    options.request.body = arguments["--body"].asString();
    options.request.headers.add("Host", options.peer);
    options.addsIdempotencyKey = arguments["--once"].asBool();
    for (const auto& line : arguments["--header"].asStringList()) {
        const auto colon = line.find(':');
        if (colon == std::string::npos)
            throw std::invalid_argument("a header without a colon: " + line);
        const auto value = line.find_first_not_of(' ', colon + 1);
        options.request.headers.add(line.substr(0, colon), value == std::string::npos ? "" : line.substr(value));
    }
    return options;
}

} // namespace

auto main(int argc, char** argv) -> int
{
    QCoreApplication application(argc, argv);
    auto arguments
        = docopt::docopt(usage, { argv + 1, argv + argc }, true, "coriandergate-load " CORIANDERGATE_VERSION);
    try {
        coriandergate::load::OpenLoopGenerator loop(readOptions(arguments));
        const auto report = loop.run();
        std::cout << (arguments["--json"].asBool() ? report.toJson() + "\n" : report.toText());
        if (arguments["--plot"].isString())
            std::ofstream(arguments["--plot"].asString()) << report.toSvg();
    } catch (const std::exception& exception) {
        std::cerr << "read arguments: " << exception.what() << "; see --help\n";
        return 2;
    }
    return 0;
}
