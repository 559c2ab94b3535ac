// Measures gossip between real GossipNode objects over an in-memory queue: bytes, detection, dissemination, false
// suspicions, memory and processor time at several sizes, beside the naive way.
#include "base/Clock.h"
#include "member/AllToAllHeartbeat.h"
#include "member/GossipCodec.h"
#include "member/MemberProfile.h"
#include "testing/GossipLoop.h"

#include <docopt.h>

#include <cmath>
#include <cstdio>
#include <ctime>
#include <fstream>
#include <sstream>
#include <unistd.h>

namespace {

using namespace coriandergate;
using namespace coriandergate::testing;
using member::MemberState;
using namespace std::chrono_literals;

constexpr auto usage = R"(Measures gossip at several sizes in one process.

Usage:
  coriandergate-measure-members [--sizes=LIST] [--seconds=N] [--seed=N] [--codec]
  coriandergate-measure-members --help

Options:
  --sizes=LIST  Numbers of daemons, 2 to 2000 each [default: 16,64,256,1600].
  --seconds=N   Length of each steady run, 10 to 600 s of simulated time [default: 60].
  --seed=N      Seed of all random choices [default: 1].
  --codec       Encode and decode each message on its way, so that the processor time holds both.
)";

constexpr double restartsADay = 2100;
constexpr double fleetSize = 1600;
constexpr double secondsADay = 86400;

struct Row {
    double nodes = 0;
    double joinSeconds = -1; // all started at once, until all views are whole
    double rejoinSeconds = -1; // one restarted, until all views are whole
    double idleBytes = 0; // a second and daemon, sent
    double idleFarBytes = 0;
    double churnBytes = 0; // with restarts at the fleet's daily rate a daemon
    double churnFarBytes = 0;
    double detectFirst = -1; // seconds from the kill until the first declares it dead
    double detectAll = -1;
    double spreadAll = -1; // seconds from an announcement until all know it
    double versionAll = -1; // seconds from a raised configuration version until all know it
    double healSeconds = -1; // after a region was cut off for two minutes, until all views are whole
    double healBytes = 0; // a second and daemon, sent meanwhile
    double suspicions = 0; // a daemon and hour, under 5% loss
    double deaths = 0; // wrong ones, under 5% loss, in all
    double pausedDeaths = 0; // daemons that believe one dead after a pause of 3 s
    double microsecondsASecond = 0; // processor time of one daemon, idle
    double kilobytes = 0; // a daemon's table, resident
};

auto residentKilobytes() -> double
{
    std::ifstream file("/proc/self/statm");
    double total = 0;
    double resident = 0;
    file >> total >> resident;
    return resident * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1024;
}

auto secondsOf(const std::optional<std::chrono::milliseconds>& time) -> double
{
    return time ? std::chrono::duration<double>(*time).count() : -1;
}

// Variant is what a whole run has in common.
struct Variant {
    std::chrono::seconds length { 60 };
    std::uint64_t seed = 1;
    bool usesCodec = false;
};

auto optionsFor(std::size_t nodes, double lossRate, const Variant& variant) -> GossipLoop::Options
{
    return { .nodes = nodes,
        .dataCentres = 17,
        .regions = 7,
        .lossRate = lossRate,
        .usesCodec = variant.usesCodec,
        .seed = variant.seed };
}

struct Rates {
    double bytes = 0;
    double farBytes = 0;
};

auto ratesOver(GossipLoop& loop, std::size_t nodes, std::chrono::seconds length, const std::function<void()>& run)
    -> Rates
{
    const auto before = loop.traffic();
    run();
    const auto daemonSeconds = static_cast<double>(nodes) * static_cast<double>(length.count());
    return { static_cast<double>(loop.traffic().bytes - before.bytes) / daemonSeconds,
        static_cast<double>(loop.traffic().farBytes - before.farBytes) / daemonSeconds };
}

auto measureSteady(GossipLoop& loop, Row& row, std::size_t nodes, std::chrono::seconds length) -> void
{
    const auto cpuBefore = std::clock();
    const auto idle = ratesOver(loop, nodes, length, [&] { loop.run(length); });
    const auto cpu = 1e6 * static_cast<double>(std::clock() - cpuBefore) / CLOCKS_PER_SEC;
    row.microsecondsASecond = cpu / static_cast<double>(nodes) / static_cast<double>(length.count());
    row.idleBytes = idle.bytes;
    row.idleFarBytes = idle.farBytes;
}

auto measureChurn(GossipLoop& loop, Row& row, std::size_t nodes, std::chrono::seconds length) -> void
{
    // The fleet's restarts in this time, of the 1,600 daemons; a smaller fleet has its share of them.
    const auto restarts = static_cast<std::size_t>(std::lround(
        restartsADay / secondsADay * static_cast<double>(length.count()) * static_cast<double>(nodes) / fleetSize));
    const auto count = std::max<std::size_t>(restarts, 1);
    const auto part = std::chrono::duration_cast<std::chrono::milliseconds>(length) / count;
    const auto churn = ratesOver(loop, nodes, length, [&] {
        for (std::size_t i = 0; i < count; ++i) {
            const auto node = (7 * i + 5) % nodes;
            static_cast<void>(loop.node(node).leave(loop.now()));
            loop.run(part / 2);
            loop.stop(node);
            loop.start(node);
            loop.run(part - part / 2);
        }
    });
    // What a restart costs beyond the idle rate, at the rate of restarts that the fleet has.
    const auto wanted
        = restartsADay / secondsADay * static_cast<double>(length.count()) * static_cast<double>(nodes) / fleetSize;
    const auto scale = wanted / static_cast<double>(count);
    row.churnBytes = row.idleBytes + scale * (churn.bytes - row.idleBytes);
    row.churnFarBytes = row.idleFarBytes + scale * (churn.farBytes - row.idleFarBytes);
}

auto measureRejoin(GossipLoop& loop, Row& row) -> void
{
    static_cast<void>(loop.runUntil([&] { return loop.areViewsWhole(); }, 120s));
    loop.stop(2);
    loop.start(2);
    loop.run(100ms);
    row.rejoinSeconds = secondsOf(loop.runUntil([&] { return loop.areViewsWhole(); }, 120s));
}

auto measureEvents(GossipLoop& loop, Row& row, std::size_t nodes) -> void
{
    loop.announce(nodes / 3, "newly-announced");
    row.spreadAll
        = secondsOf(loop.runUntil([&] { return loop.countKnowing(nodes / 3, "newly-announced") == nodes - 1; }, 120s));
    loop.node(1).raiseKnownVersions(1000, 0);
    row.versionAll = secondsOf(loop.runUntil(
        [&] {
            for (std::size_t node = 0; node < nodes; ++node) {
                if (loop.node(node).configurationVersion() < 1000)
                    return false;
            }
            return true;
        },
        120s));
    loop.pause(nodes / 4);
    loop.run(3s);
    loop.resume(nodes / 4);
    loop.run(10s);
    row.pausedDeaths = static_cast<double>(loop.countBelieving(nodes / 4, MemberState::Dead));
    loop.stop(nodes / 2);
    const auto first = loop.runUntil([&] { return loop.countBelieving(nodes / 2, MemberState::Dead) > 0; }, 120s);
    const auto rest
        = loop.runUntil([&] { return loop.countBelieving(nodes / 2, MemberState::Dead) >= nodes - 1; }, 120s);
    row.detectFirst = secondsOf(first);
    row.detectAll = first && rest ? secondsOf(*first + *rest) : -1;
}

auto measurePartition(GossipLoop& loop, Row& row, std::size_t nodes) -> void
{
    constexpr std::size_t dataCentres = 17;
    constexpr std::size_t regions = 7;
    loop.cut([](std::size_t from, std::size_t to) {
        return (from % dataCentres % regions == 0) != (to % dataCentres % regions == 0);
    });
    loop.run(120s);
    loop.cut({});
    const auto before = loop.traffic().bytes;
    row.healSeconds = secondsOf(loop.runUntil([&] { return loop.areViewsWhole(); }, 600s, 1s));
    const auto length = row.healSeconds > 0 ? row.healSeconds : 600;
    row.healBytes = static_cast<double>(loop.traffic().bytes - before) / static_cast<double>(nodes) / length;
}

auto measureLoss(Row& row, std::size_t nodes, const Variant& variant) -> void
{
    GossipLoop loop(optionsFor(nodes, 0.05, variant));
    static_cast<void>(loop.runUntil([&] { return loop.areViewsWhole(); }, 300s, 1s));
    const auto before = loop.totals();
    loop.run(variant.length);
    const auto after = loop.totals();
    const auto daemonHours = static_cast<double>(nodes) * static_cast<double>(variant.length.count()) / 3600;
    row.suspicions = static_cast<double>(after.suspicions - before.suspicions) / daemonHours;
    row.deaths = static_cast<double>(after.deaths - before.deaths);
}

auto measure(std::size_t nodes, const Variant& variant) -> Row
{
    Row row;
    row.nodes = static_cast<double>(nodes);
    const auto memoryBefore = residentKilobytes();
    {
        GossipLoop loop(optionsFor(nodes, 0, variant));
        row.joinSeconds = secondsOf(loop.runUntil([&] { return loop.areViewsWhole(); }, 300s, 1s));
        row.kilobytes = (residentKilobytes() - memoryBefore) / row.nodes;
        loop.run(30s);
        measureSteady(loop, row, nodes, variant.length);
        measureChurn(loop, row, nodes, variant.length);
        measureRejoin(loop, row);
        measureEvents(loop, row, nodes);
        measurePartition(loop, row, nodes);
    }
    measureLoss(row, nodes, variant);
    return row;
}

// naiveBytes() is what one AllToAllHeartbeat sends a second: its message to every peer, with IP and UDP headers.
auto naiveBytes(std::size_t nodes) -> double
{
    GossipLoop sample(optionsFor(2, 0, {}));
    sample.run(2s);
    std::vector<std::string> peers;
    for (std::size_t i = 1; i < nodes; ++i)
        peers.push_back("10.0.0.1:" + std::to_string(i));
    member::AllToAllHeartbeat node(sample.node(0).self(), peers, {});
    member::GossipMessage message;
    message.sender = node.self();
    const auto size = static_cast<double>(member::encodeGossip(message).size() + 28);
    return size * static_cast<double>(node.tick(monotonicNow()).size());
}

struct Fit {
    double intercept = 0;
    double slope = 0;
    double residual = 0; // root mean square
};

auto fit(const std::vector<Row>& rows, double Row::*field, const std::function<double(double)>& scale) -> Fit
{
    double n = 0, sx = 0, sy = 0, sxx = 0, sxy = 0;
    for (const auto& row : rows) {
        const auto x = scale(row.nodes);
        n += 1;
        sx += x;
        sy += row.*field;
        sxx += x * x;
        sxy += x * row.*field;
    }
    Fit result;
    result.slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
    result.intercept = (sy - result.slope * sx) / n;
    for (const auto& row : rows)
        result.residual += std::pow(row.*field - result.intercept - result.slope * scale(row.nodes), 2) / n;
    result.residual = std::sqrt(result.residual);
    return result;
}

auto printFit(const char* name, const std::vector<Row>& rows, double Row::*field, bool isLogarithmic) -> void
{
    const auto line = fit(rows, field, [&](double nodes) { return isLogarithmic ? std::log2(nodes) : nodes; });
    std::printf("%-34s %10.3f + %9.4f x %s   residual %.3f\n", name, line.intercept, line.slope,
        isLogarithmic ? "log2(daemons)" : "daemons", line.residual);
}

auto sizesFrom(const std::string& list) -> std::vector<std::size_t>
{
    std::vector<std::size_t> sizes;
    std::istringstream stream(list);
    for (std::string size; std::getline(stream, size, ',');)
        sizes.push_back(std::min<std::size_t>(std::max(2UL, std::stoul(size)), 2000));
    return sizes;
}

}

auto main(int argumentCount, char** arguments) -> int
{
    auto options = docopt::docopt(usage, { arguments + 1, arguments + argumentCount }, true, "");
    const Variant variant { std::chrono::seconds(std::min(std::max(10L, options["--seconds"].asLong()), 600L)),
        static_cast<std::uint64_t>(options["--seed"].asLong()), options["--codec"].asBool() };
    std::vector<Row> rows;
    std::printf("%7s %7s %7s %7s %8s %8s %8s %8s %8s %9s %7s %7s %7s %7s %9s %7s %7s %8s %8s\n", "daemons", "join s",
        "rejoin", "heal s", "heal B/s", "idle B/s", "far B/s", "churnB/s", "far B/s", "naive B/s", "dead 1", "dead *",
        "spread", "version", "susp/h 5%", "deaths", "paused", "us/s", "KB");
    for (const auto nodes : sizesFrom(options["--sizes"].asString())) {
        const auto row = measure(nodes, variant);
        std::printf("%7.0f %7.1f %7.1f %7.1f %8.1f %8.1f %8.1f %8.1f %8.1f %9.0f %7.1f %7.1f %7.1f %7.1f %9.2f %7.0f "
                    "%7.0f %8.1f %8.1f\n",
            row.nodes, row.joinSeconds, row.rejoinSeconds, row.healSeconds, row.healBytes, row.idleBytes,
            row.idleFarBytes, row.churnBytes, row.churnFarBytes, naiveBytes(nodes), row.detectFirst, row.detectAll,
            row.spreadAll, row.versionAll, row.suspicions, row.deaths, row.pausedDeaths, row.microsecondsASecond,
            row.kilobytes);
        std::fflush(stdout);
        rows.push_back(row);
    }
    if (rows.size() < 2)
        return 0;
    printFit("idle, B/s a daemon", rows, &Row::idleBytes, false);
    printFit("with restarts, B/s a daemon", rows, &Row::churnBytes, false);
    printFit("to other regions, B/s a daemon", rows, &Row::churnFarBytes, false);
    printFit("known dead to all, s", rows, &Row::detectAll, true);
    printFit("announced target known to all, s", rows, &Row::spreadAll, true);
    printFit("version known to all, s", rows, &Row::versionAll, true);
    printFit("table, KB a daemon", rows, &Row::kilobytes, false);
    printFit("processor, us/s a daemon", rows, &Row::microsecondsASecond, false);
    return 0;
}
