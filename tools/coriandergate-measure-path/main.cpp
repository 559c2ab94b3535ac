// Measures the latency that the daemons add: each round sends the same open-loop load straight to a stand-in target,
// through one daemon beside it, and through an entry daemon and the daemon beside it; the medians of the rounds are
// compared within the one run.
#include "load/OpenLoopGenerator.h"
#include "testing/LoopbackPort.h"
#include "testing/ProcessUnderTest.h"

#include <QCoreApplication>
#include <QTemporaryDir>
#include <algorithm>
#include <array>
#include <docopt/docopt.h>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <thread>

namespace {

using namespace coriandergate;
using std::chrono::milliseconds;

constexpr char usage[] = R"(coriandergate-measure-path - measures the latency that one and two daemons add

Usage:
  coriandergate-measure-path [options]
  coriandergate-measure-path (-h | --help)

Options:
  -h --help             Show this text.
  --rate=<number>       Requests a second [default: 150].
  --seconds=<number>    Length of one slice [default: 2].
  --rounds=<number>     Slices for each way [default: 5].
  --service-time=<ms>   Of the target [default: 0].
  --workers=<number>    Threads of each daemon [default: 2].
  --open                On an open route: without key, rate and share of the account.
)";

constexpr milliseconds patience { 15000 };

const std::string declaration = R"(services:
  - name: bench
clientAccounts:
  - { name: bench, ratePerSecond: 100000, burst: 100000, keyDigests: [e229ec1be2faa7a5dec6aad7aff1591e1e9b1683ed3f08cce11be9bd06dd2c67] }
routes:
  - { name: bench, pathPrefix: /, service: bench, repeatPolicy: idempotent }
  - { name: bench-open, pathPrefix: /open, service: bench, isOpen: true, repeatPolicy: idempotent }
)";

// One started program, or the end of this one with its output.
class Started {
public:
    Started(const std::string& name, std::vector<std::string> arguments, const std::string& readyLine)
        : m_process(testing::toolPath(QCoreApplication::applicationDirPath().toStdString(), name), std::move(arguments))
    {
        Error reason;
        if (!m_process.start(reason) || !m_process.waitForLine(readyLine, patience)) {
            std::cerr << name << " does not come up: " << reason.toText() << m_process.output();
            std::exit(1);
        }
    }

    auto process() -> testing::ProcessUnderTest& { return m_process; }

private:
    testing::ProcessUnderTest m_process;
};

struct DaemonAddresses {
    std::string callers;
    std::string peers;
    std::string admin;
};

auto freeAddresses() -> DaemonAddresses
{
    const auto free = [] { return "127.0.0.1:" + std::to_string(testing::freeLoopbackPort()); };
    return { free(), free(), free() };
}

auto daemonArguments(const DaemonAddresses& self, const std::string& peers, const std::string& file,
    const std::string& workers) -> std::vector<std::string>
{
    return { "--listen=" + self.callers, "--peer-listen=" + self.peers, "--admin-listen=" + self.admin,
        "--peers=" + peers, "--declaration=" + file, "--log-level=0", "--workers=" + workers };
}

auto makeOptions(const std::string& peer, const std::string& path, double rate, double seconds, std::uint64_t seed)
    -> load::OpenLoopGenerator::Options
{
    load::OpenLoopGenerator::Options options;
    options.peer = peer;
    options.requestsPerSecond = rate;
    options.duration = milliseconds(static_cast<std::int64_t>(seconds * 1000));
    options.seed = seed;
    options.request.target = path;
    options.request.headers.add("Host", "bench");
    options.request.headers.add("X-Api-Key", "demo-key");
    return options;
}

auto median(std::vector<std::int64_t> values) -> std::int64_t
{
    std::sort(values.begin(), values.end());
    return values[values.size() / 2];
}

struct Way {
    std::string name;
    std::string address;
    std::vector<std::int64_t> p50;
    std::vector<std::int64_t> p99;
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
};

// Sends until the whole path answers, so that start-up isn't measured.
auto warmUp(const std::string& address, const std::string& path) -> bool
{
    for (int tries = 0; tries < 60; ++tries) {
        load::OpenLoopGenerator loop(makeOptions(address, path, 100, 0.2, 1));
        const auto report = loop.run();
        const auto ended = report.outcomeCounts().find("200 ran");
        if (ended != report.outcomeCounts().end() && ended->second == report.requests())
            return true;
    }
    return false;
}

auto printTable(const std::array<Way, 3>& ways) -> void
{
    std::cout << "| way | requests | answered | p50 us | p99 us | added p50 us | added p99 us |\n"
              << "| --- | --- | --- | --- | --- | --- | --- |\n";
    for (const auto& way : ways)
        std::cout << "| " << way.name << " | " << way.requests << " | " << way.answered << " | " << median(way.p50)
                  << " | " << median(way.p99) << " | " << median(way.p50) - median(ways[0].p50) << " | "
                  << median(way.p99) - median(ways[0].p99) << " |\n";
}

} // namespace

auto main(int argc, char** argv) -> int
{
    QCoreApplication application(argc, argv);
    auto arguments = docopt::docopt(usage, { argv + 1, argv + argc });
    const auto rate = std::stod(arguments["--rate"].asString());
    const auto seconds = std::stod(arguments["--seconds"].asString());
    const auto rounds = std::stoul(arguments["--rounds"].asString());
    const auto workers = arguments["--workers"].asString();

    const std::string path = arguments["--open"].asBool() ? "/open" : "/";
    QTemporaryDir folder;
    const auto file = folder.filePath("bench.yaml").toStdString();
    std::ofstream(file) << declaration;
    const auto entry = freeAddresses();
    const auto owner = freeAddresses();
    Started ownerDaemon("coriandergated", daemonArguments(owner, entry.peers, file, workers), "CG1001");
    Started entryDaemon("coriandergated", daemonArguments(entry, owner.peers, file, workers), "CG1001");
    Started target("coriandergate-target-stand-in",
        { "--service=bench", "--slots=512", "--announce=" + owner.admin,
            "--service-time=" + arguments["--service-time"].asString() },
        "listening on ");
    const auto line = target.process().waitForLine("listening on ", patience).value();
    std::array<Way, 3> ways { Way { "direct", line.substr(line.rfind(' ') + 1), {}, {} },
        Way { "one daemon", owner.callers, {}, {} }, Way { "entry and owner", entry.callers, {}, {} } };
    for (std::size_t i = 1; i < ways.size(); ++i) {
        if (!warmUp(ways[i].address, path)) {
            std::cerr << "no answers through " << ways[i].name << "\n" << entryDaemon.process().output();
            return 1;
        }
    }
    for (std::size_t round = 0; round < rounds; ++round) {
        for (auto& way : ways) {
            load::OpenLoopGenerator loop(makeOptions(way.address, path, rate, seconds, round + 1));
            const auto report = loop.run();
            way.p50.push_back(report.quantile(0.5).count());
            way.p99.push_back(report.quantile(0.99).count());
            way.requests += report.requests();
            for (const auto& [ending, count] : report.outcomeCounts())
                way.answered += ending.starts_with("200") ? count : 0;
        }
    }
    std::cout << rate << " requests/s, " << rounds << " rounds of " << seconds << " s, medians of the rounds\n\n";
    printTable(ways);
    return 0;
}
