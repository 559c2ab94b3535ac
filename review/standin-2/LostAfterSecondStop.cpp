// A daemon gets SIGTERM, and SIGTERM again 2 s later, as two planned works meet at its machine. Once-only requests that
// it took before the first one are at work at instances of other hosts.
#include "Fleet.h"

#include <csignal>
#include <mutex>

using namespace review;

namespace {

// `grace` of the settings, and the part of it at whose end a request that is still at work doesn't count.
constexpr Milliseconds grace { 6000 };
constexpr Milliseconds lastSixth { 1000 };
constexpr Milliseconds betweenStops { 2000 };
constexpr Milliseconds work { 5600 };
constexpr Milliseconds beforeFirstStop { 200 };
constexpr std::size_t clients = 6;
constexpr const char* routeTimeout = "8000ms";

struct Ended {
    Response response;
    Clock::time_point at;
};

} // namespace

auto main(int, char** arguments) -> int
{
    Record record(std::string(arguments[1]) + "/record.txt");
    Fleet fleet(record);
    fleet.serviceTime = work;
    for (int i = 0; i < 3; ++i)
        fleet.addHost("ledger");
    auto manifest = Fleet::manifest(7);
    for (auto& route : manifest["routes"]["rows"])
        route[4] = routeTimeout;
    fleet.putManifest(manifest);
    for (int i = 0; i < 3; ++i) {
        fleet.startDaemon(fleet.host(i));
        fleet.startInstance(fleet.host(i), "i-" + std::to_string(i));
    }
    if (!fleet.waitUntilReady(Milliseconds(15000)))
        fleet.finish(couldNotRun);
    sleepFor(Milliseconds(4000));

    // The instance of the first host leaves, and its daemon is stopped after it.
    auto& host = fleet.host(0);
    if (!host.instance->leave())
        fleet.finish(couldNotRun);
    sleepFor(Milliseconds(3500));
    host.instance->deregister();
    host.instance.reset();

    std::mutex mutex;
    std::vector<Ended> ended;
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < clients; ++i) {
        threads.emplace_back([&] {
            Request request;
            request.path = "/book/1";
            request.method = "POST";
            request.deadlineMs = 10000;
            const auto response = fleet.send(host, request);
            const auto at = Clock::now();
            const std::lock_guard lock(mutex);
            ended.push_back({ response, at });
        });
    }
    sleepFor(beforeFirstStop);
    fleet.kill(host, SIGTERM);
    auto stoppedAt = Clock::now();
    if (isTroubled()) {
        sleepFor(betweenStops);
        fleet.kill(host, SIGTERM);
        stoppedAt = Clock::now();
    }
    sleepUntil(stoppedAt + grace);
    fleet.kill(host, SIGKILL);
    for (auto& thread : threads)
        thread.join();

    std::size_t lost = 0;
    std::size_t ran = 0;
    for (const auto& [response, at] : ended) {
        bool hasRun = false;
        for (int i = 1; i < 3; ++i) {
            for (const auto& arrival : fleet.host(i).instance->arrivals())
                hasRun = hasRun || arrival.id == response.id;
        }
        ran += hasRun ? 1 : 0;
        const auto afterStop = std::chrono::duration_cast<Milliseconds>(at - stoppedAt);
        if (!hasRun || response.status == 200 || afterStop >= grace - lastSixth)
            continue;
        ++lost;
        record.add("LOST: " + response.id + " was at work and was given up with " + std::to_string(response.status)
            + " " + std::to_string(afterStop.count()) + " ms after the last SIGTERM, "
            + std::to_string(std::chrono::duration_cast<Milliseconds>(at - response.sentAt).count())
            + " ms after it was sent");
    }
    record.add("result: " + std::to_string(lost) + " of " + std::to_string(ran) + " requests at work were given up");
    if (ran == 0)
        fleet.finish(couldNotRun);
    fleet.finish(lost > 0 ? ruleBroken : ruleHeld);
}
