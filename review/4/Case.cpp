// The daemon beside an instance that has left is stopped and started again. A ping that the instance sent before it
// left arrives seconds late. Checks that no request reaches the instance later than `drain` after the acknowledgement.
#include "../standin/Fleet.h"

#include <atomic>
#include <chrono>
#include <csignal>
#include <iostream>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

using namespace review;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

constexpr long drainMs = 2500;
constexpr long stabilityMs = 3000;
constexpr milliseconds graceTime { 6000 };
constexpr milliseconds restartDelay { 200 };
constexpr milliseconds pingDelay { 4000 }; // of the late ping
constexpr milliseconds stayTime { 12000 }; // how long the instance serves after its acknowledgement
constexpr std::size_t clientsPerHost = 3;

} // namespace

auto main(int argc, char** argv) -> int
{
    Record record(argc > 1 ? argv[1] : "record.txt");
    std::mutex mutex;
    std::string leaving;
    std::atomic<long> acknowledgedAt = 0;
    std::atomic<long> inTouchAt = 0; // all machines, after the restart of one
    int lateRuns = 0;
    int runsAfterDrain = 0;
    std::set<std::string> begun;
    const auto started = [&](const Message& request, const std::string& instance) {
        const std::lock_guard lock(mutex);
        const auto now = record.millisecondsSinceStart();
        const bool isLate = instance == leaving && acknowledgedAt > 0 && now > acknowledgedAt + drainMs;
        runsAfterDrain += isLate ? 1 : 0;
        const bool doesCount = isLate && inTouchAt > 0 && now > inTouchAt;
        lateRuns += doesCount ? 1 : 0;
        begun.insert(request.header("X-Request-Id").value_or(""));
        record.line("instance " + instance + " begins to run " + request.header("X-Request-Id").value_or("")
            + (isLate ? ", later than `drain` after the acknowledgement" : "") + (doesCount ? ": DRAIN" : ""));
    };
    Fleet fleet(
        record, { { .name = "ledger", .instances = 3, .workMs = 100 } },
        [](const Message&) { return Instance::Fate::Run; }, started);
    if (!fleet.start()) {
        std::cerr << "the deployment didn't come up\n";
        fleet.stop();
        finish(2);
    }
    std::atomic<bool> isOver = false;
    int sent = 0;
    int served = 0;
    int lost = 0;
    std::vector<std::thread> clients;
    // Clients of the other two machines only.
    for (std::size_t number = 0; number < 2 * clientsPerHost; ++number) {
        clients.emplace_back([&, number] {
            Client client(fleet.host(1 + number % 2).callers());
            for (int i = 1; !isOver; ++i) {
                const auto id = "c" + std::to_string(number) + "-" + std::to_string(i);
                const auto outcome = client.send("POST", "/book-ledger/1", id, "one order");
                if (outcome.status != 200)
                    std::this_thread::sleep_for(milliseconds(200)); // before the next request
                const std::lock_guard lock(mutex);
                ++sent;
                served += outcome.status == 200 ? 1 : 0;
                const bool isLost = outcome.status != 200 && begun.contains(id);
                lost += isLost ? 1 : 0;
                record.line("client got " + std::to_string(outcome.status) + " for " + id
                    + (isLost ? ", which an instance had begun to run" : ""));
            }
        });
    }
    std::this_thread::sleep_for(milliseconds(1000));
    auto& instance = fleet.instance(0);
    auto& host = fleet.host(0);
    const auto leaveStarted = steady_clock::now();
    const int status = instance.leave();
    {
        const std::lock_guard lock(mutex);
        leaving = instance.id();
        acknowledgedAt = record.millisecondsSinceStart();
        record.line("daemon " + host.name() + " answers " + std::to_string(status) + " to the deregistration");
    }
    std::this_thread::sleep_for(milliseconds(200));
    if (isTroubled()) {
        record.line("daemon " + host.name() + " gets SIGTERM");
        host.signalDaemon(SIGTERM);
        const auto killAt = steady_clock::now() + graceTime;
        while (!host.wasReaped()) {
            std::this_thread::sleep_for(milliseconds(5));
            if (steady_clock::now() > killAt)
                host.signalDaemon(SIGKILL);
        }
        std::this_thread::sleep_for(restartDelay);
        host.startDaemon();
    }
    std::this_thread::sleep_until(leaveStarted + pingDelay);
    while (!host.isReady())
        std::this_thread::sleep_for(milliseconds(20));
    const int pingStatus = instance.deliverHeldPing();
    record.line("the held-up ping arrives and is answered " + std::to_string(pingStatus));
    inTouchAt = record.millisecondsSinceStart() + stabilityMs;
    std::this_thread::sleep_until(leaveStarted + stayTime);
    instance.end();
    std::this_thread::sleep_for(milliseconds(1000));
    isOver = true;
    for (auto& client : clients)
        client.join();
    fleet.stop();
    const auto summary = std::to_string(runsAfterDrain) + " requests reached the instance later than `drain` after the "
        + "acknowledgement, " + std::to_string(lateRuns) + " of them with all machines in touch; "
        + std::to_string(sent) + " sent, " + std::to_string(served) + " served, " + std::to_string(lost)
        + " lost as the instance ended";
    record.line(summary);
    std::cout << summary << std::endl;
    if (status != 200 || pingStatus == 0 || (lateRuns == 0 && served * 2 < sent))
        finish(2);
    finish(lateRuns > 0 ? 1 : 0);
}
