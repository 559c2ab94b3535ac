// The operator takes away the one tenant, and with it its key. Checks that no request with this key, and none with a
// key that no manifest ever held, runs once the bound `revoke` is over.
#include "../standin/Fleet.h"

#include <chrono>
#include <cstdlib>
#include <iostream>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

using namespace review;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

constexpr long revokeMs = 5000;
constexpr milliseconds observedTime { 6000 }; // after `revoke`
constexpr const char* unknownKey = "qqqqqqqqqqqqqqqqqqqq";

} // namespace

auto main(int argc, char** argv) -> int
{
    Record record(argc > 1 ? argv[1] : "record.txt");
    std::mutex mutex;
    std::map<std::string, int> runs;
    const auto started = [&](const Message& request, const std::string& instance) {
        const std::lock_guard lock(mutex);
        const auto id = request.header("X-Request-Id").value_or("");
        ++runs[id];
        record.line("instance " + instance + " begins to run " + id + ", X-Tenant "
            + request.header("X-Tenant").value_or("none"));
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
    std::atomic<long> acknowledgedAt = 0;
    int sent = 0;
    int servedBefore = 0;
    int revokedRuns = 0;
    int unknownRuns = 0;
    std::vector<std::thread> clients;
    for (std::size_t number = 0; number < 2 * fleet.size(); ++number) {
        clients.emplace_back([&, number] {
            // Every second client has a key that no manifest ever held.
            const bool isUnknown = number % 2 == 1;
            Client client(fleet.host(number / 2).callers());
            for (int i = 1; !isOver; ++i) {
                const auto id = (isUnknown ? "unknown-" : "c") + std::to_string(number) + "-" + std::to_string(i);
                const auto sentAt = record.millisecondsSinceStart();
                const auto outcome
                    = client.send("POST", "/book-ledger/1", id, "one order", isUnknown ? unknownKey : Client::key);
                std::this_thread::sleep_for(milliseconds(100));
                const std::lock_guard lock(mutex);
                ++sent;
                const bool hasRun = runs.contains(id);
                const bool isRevoked = !isUnknown && hasRun && acknowledgedAt > 0 && sentAt > acknowledgedAt + revokeMs;
                servedBefore += !isUnknown && acknowledgedAt == 0 && outcome.status == 200 ? 1 : 0;
                revokedRuns += isRevoked ? 1 : 0;
                unknownRuns += isUnknown && hasRun ? 1 : 0;
                record.line("client got " + std::to_string(outcome.status) + " for " + id
                    + (isRevoked ? ", sent later than `revoke` after its key was taken away: CONFIG" : "")
                    + (isUnknown && hasRun ? ", whose key no manifest ever held: ROUTE" : ""));
            }
        });
    }
    std::this_thread::sleep_for(milliseconds(2000));
    if (isTroubled())
        fleet.putManifest(11, "");
    {
        const std::lock_guard lock(mutex);
        acknowledgedAt = isTroubled() ? record.millisecondsSinceStart() : 0;
    }
    std::this_thread::sleep_for(milliseconds(revokeMs) + observedTime);
    isOver = true;
    for (auto& client : clients)
        client.join();
    fleet.stop();
    const auto summary = std::to_string(sent) + " requests sent, " + std::to_string(servedBefore)
        + " served before the key was taken away; " + std::to_string(revokedRuns)
        + " ran with it later than `revoke` after that, " + std::to_string(unknownRuns)
        + " ran with a key that no manifest ever held";
    record.line(summary);
    std::cout << summary << std::endl;
    if (servedBefore == 0)
        finish(2);
    finish(revokedRuns + unknownRuns > 0 ? 1 : 0);
}
