// A request crashes each instance that begins to run it, and comes again with the same path, caller and body at any
// machine. Checks how often it is sent once more to another instance after it has crashed the third.
#include "../standin/Fleet.h"

#include <chrono>
#include <iostream>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

using namespace review;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

constexpr int comings = 16; // of the request, one a period
constexpr milliseconds period { 1500 };
constexpr long stabilityMs = 3000;
constexpr int allowedRetries = 3;
constexpr std::size_t clientsPerHost = 2;

} // namespace

auto main(int argc, char** argv) -> int
{
    Record record(argc > 1 ? argv[1] : "record.txt");
    const bool troubled = isTroubled();
    std::mutex mutex;
    std::map<std::string, int> runs;
    int crashes = 0;
    long thirdCrashAt = 0;
    int lateRetries = 0;
    const auto isCrashing = [](const Message& request) { return request.word(1) == "/view-ledger/crash"; };
    const auto chooseFate = [&](const Message& request) {
        return troubled && isCrashing(request) ? Instance::Fate::Crash : Instance::Fate::Run;
    };
    const auto started = [&](const Message& request, const std::string& instance) {
        const std::lock_guard lock(mutex);
        const auto id = request.header("X-Request-Id").value_or("");
        const int run = ++runs[id];
        record.line("instance " + instance + " begins to run " + id + (run > 1 ? ", a retry" : ""));
        if (!isCrashing(request))
            return;
        if (run > 1 && thirdCrashAt > 0 && record.millisecondsSinceStart() > thirdCrashAt + stabilityMs) {
            ++lateRetries;
            record.line("a retry later than `stability` after the third crash, number " + std::to_string(lateRetries));
        }
        if (troubled && ++crashes == 3)
            thirdCrashAt = record.millisecondsSinceStart();
    };
    Fleet fleet(record, { { .name = "ledger", .instances = 6, .workMs = 400 } }, chooseFate, started);
    if (!fleet.start()) {
        std::cerr << "the deployment didn't come up\n";
        fleet.stop();
        finish(2);
    }
    std::atomic<bool> isOver = false;
    int sent = 0;
    int served = 0;
    int lost = 0;
    std::vector<std::thread> threads;
    for (std::size_t number = 0; number < fleet.size() * clientsPerHost; ++number) {
        threads.emplace_back([&, number] {
            Client client(fleet.host(number % fleet.size()).callers());
            for (int i = 1; !isOver; ++i) {
                const auto id = "c" + std::to_string(number) + "-" + std::to_string(i);
                const auto outcome = client.send("POST", "/book-ledger/1", id, "one order");
                const std::lock_guard lock(mutex);
                ++sent;
                served += outcome.status == 200 ? 1 : 0;
                const bool isLost = outcome.status != 200 && runs.contains(id);
                lost += isLost ? 1 : 0;
                record.line("client got " + std::to_string(outcome.status) + " for " + id
                    + (isLost ? ", which an instance had begun to run" : ""));
            }
        });
    }
    for (int i = 1; i <= comings; ++i) {
        threads.emplace_back([&, i] {
            const auto id = "crash-" + std::to_string(i);
            Client client(fleet.host(static_cast<std::size_t>(i) % fleet.size()).callers());
            record.line("a client sends " + id);
            const auto outcome = client.send("GET", "/view-ledger/crash", id, "");
            record.line("client got " + std::to_string(outcome.status) + " for " + id);
        });
        std::this_thread::sleep_for(period);
    }
    isOver = true;
    for (auto& thread : threads)
        thread.join();
    fleet.stop();
    const auto summary = std::to_string(crashes) + " crashes; " + std::to_string(lateRetries)
        + " retries later than `stability` after the third; " + std::to_string(sent) + " orders sent, "
        + std::to_string(served) + " served, " + std::to_string(lost) + " begun and not served";
    record.line(summary);
    std::cout << summary << std::endl;
    if (served * 2 < sent)
        finish(2);
    finish(lateRetries > allowedRetries ? 1 : 0);
}
