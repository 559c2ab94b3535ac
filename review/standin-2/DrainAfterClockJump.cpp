// Case 6: an instance is started again under its id while the time of day of its machine has jumped back. Later, in
// calm, it says that it drains. Its daemon acknowledges that and goes on sending it requests.
#include "Fleet.h"

#include <map>
#include <mutex>

using namespace review;

namespace {

// `drain` of the settings: no request may reach the instance later than this after the acknowledgement.
constexpr Milliseconds drainBound { 2500 };
// Dose of the disruption `clock_step` in the site file, and the length of its longest pause between two starts.
constexpr std::int64_t clockJumpMs = 2400;
constexpr Milliseconds timeBetweenStarts { 1400 };
// Until then every machine is in touch again (`stability` is 3 s).
constexpr Milliseconds calm { 8000 };
// How long an instance serves on after the acknowledgement before it exits: `drain` and a little longer.
constexpr Milliseconds serviceAfterAcknowledgement { 4500 };

struct Sent {
    Clock::time_point at;
    int status = 0;
};

} // namespace

auto main() -> int
{
    constexpr std::size_t hosts = 3;
    Record record("review/6/record.txt");
    Fleet fleet(record);
    fleet.serviceTime = Milliseconds(400);
    for (std::size_t i = 0; i < hosts; ++i)
        fleet.addHost("ledger");
    fleet.putManifest(Fleet::manifest(7));
    for (std::size_t i = 0; i < hosts; ++i) {
        fleet.startDaemon(fleet.host(i));
        fleet.startInstance(fleet.host(i), "i-" + std::to_string(i));
    }
    if (!fleet.waitUntilReady(Milliseconds(15000)))
        fleet.finish(couldNotRun);
    sleepFor(Milliseconds(3000));

    // The instance goes down and up by turns, each time under its id. Before its last start the time of day of its
    // machine jumps back, and with it the start time that it states.
    auto& host = fleet.host(0);
    fleet.startInstance(host, "i-0");
    sleepFor(timeBetweenStarts);
    const auto born = unixMilliseconds() - (isTroubled() ? clockJumpMs : 0);
    fleet.record().add(isTroubled() ? "the time of day of the machine of i-0 has jumped back by 2400 ms"
                                    : "no disruption: the time of day of the machine of i-0 is right");
    auto& instance = fleet.startInstance(host, "i-0", born);
    sleepFor(calm);

    std::atomic<bool> isEnding { false };
    std::mutex mutex;
    std::map<std::string, Sent> sent;
    std::vector<std::thread> clients;
    constexpr std::size_t clientsPerHost = 3;
    for (std::size_t i = 0; i < clientsPerHost * hosts; ++i) {
        clients.emplace_back([&, i] {
            while (!isEnding) {
                Request request;
                request.path = "/book/1";
                request.method = "POST";
                const auto response = fleet.send(fleet.host(i % hosts), request);
                const std::lock_guard lock(mutex);
                sent[response.id] = { response.sentAt, response.status };
            }
        });
    }
    sleepFor(Milliseconds(1500));
    const bool isAcknowledged = instance.leave();
    const auto acknowledgedAt = Clock::now();
    fleet.record().add(isAcknowledged ? "acknowledged: i-0 drains" : "not acknowledged");
    sleepFor(serviceAfterAcknowledgement);
    const auto arrivals = instance.arrivals();
    fleet.record().add("i-0 exits");
    host.instance.reset();
    sleepFor(Milliseconds(1000));
    isEnding = true;
    for (auto& client : clients)
        client.join();
    if (!isAcknowledged)
        fleet.finish(couldNotRun);

    std::size_t late = 0;
    std::size_t lost = 0;
    for (const auto& arrival : arrivals) {
        const auto after = std::chrono::duration_cast<Milliseconds>(arrival.at - acknowledgedAt);
        if (after <= drainBound || !sent.contains(arrival.id))
            continue;
        ++late;
        const int status = sent[arrival.id].status;
        lost += status == 200 ? 0 : 1;
        fleet.record().add("DRAIN: " + arrival.id + " reached i-0 " + std::to_string(after.count())
            + " ms after the acknowledgement; its client got " + std::to_string(status));
    }
    fleet.record().add("result: " + std::to_string(late) + " requests reached i-0 later than 2500 ms after the "
        + "acknowledgement; " + std::to_string(lost) + " of them were lost when it exited");
    fleet.finish(late > 0 ? ruleBroken : ruleHeld);
}
