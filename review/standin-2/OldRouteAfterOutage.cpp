// The store is down for a while. Shortly after its return the operator moves a route to another service. Some daemons
// go on sending the route's requests to the former service, since those that pass the store's news on wait for each
// other. Several small deployments of the same kind run side by side, as it depends on which daemon waits for which.
#include "Fleet.h"

#include <cstdio>
#include <unistd.h>

using namespace review;

namespace {

constexpr std::size_t deployments = 14;
constexpr std::size_t hosts = 6;
constexpr std::size_t ledgerHosts = 4; // the others run "archive"
constexpr int rounds = 8;
// Dose of `platform_down` in the site file.
constexpr Milliseconds outage { 4500 };
constexpr Milliseconds fromReturnToChange { 400 };
// `config_apply` and `stability` of the settings.
constexpr Milliseconds configApply { 2500 };
constexpr Milliseconds stability { 3000 };
constexpr Milliseconds margin { 20 }; // so that no request is sent just at the bound
constexpr Milliseconds observation { 1500 };
constexpr Milliseconds calm { 3000 };

std::atomic<std::size_t> broken { 0 };
std::atomic<std::size_t> notReady { 0 };

auto manifestWith(std::uint64_t version, const std::string& service) -> json
{
    auto manifest = Fleet::manifest(version);
    manifest["routes"]["rows"].push_back(
        { "moving", "ledger.example", "/moving/", "idempotent", "5000ms", "1500ms", 1, service, 2, false, nullptr });
    manifest["services"]["rows"].push_back({ "archive", "/health", 390, "h1", false });
    return manifest;
}

// Sends requests to one daemon from `begin` to `end`, all later than the bounds allow an older manifest to be used.
auto observe(Fleet& fleet, const Host& host, const std::string& service, Clock::time_point begin, Clock::time_point end)
    -> void
{
    sleepUntil(begin);
    while (Clock::now() < end) {
        Request request;
        request.path = "/moving/1";
        const auto response = fleet.send(host, request);
        const auto server = response.message.header("X-Server-Signature");
        if (response.status == 200 && !server.starts_with(service)) {
            ++broken;
            fleet.record().add("CONFIG: " + response.id + ", sent to " + host.ip + " "
                + std::to_string(std::chrono::duration_cast<Milliseconds>(response.sentAt - begin).count())
                + " ms later than 20 ms after the bound, was run by " + server + " and not by " + service);
        }
        sleepFor(Milliseconds(20));
    }
}

auto play(Record& record) -> void
{
    // Kept until the process ends, as the threads of open connections use it.
    auto& fleet = *std::make_unique<Fleet>(record).release();
    fleet.serviceTime = Milliseconds(5);
    for (std::size_t i = 0; i < hosts; ++i)
        fleet.addHost(i < ledgerHosts ? "ledger" : "archive");
    std::uint64_t version = 7;
    fleet.putManifest(manifestWith(version, "ledger"));
    for (std::size_t i = 0; i < hosts; ++i) {
        fleet.startDaemon(fleet.host(i));
        fleet.startInstance(fleet.host(i), fleet.host(i).service + "-" + std::to_string(i));
    }
    if (!fleet.waitUntilReady(Milliseconds(15000))) {
        ++notReady;
        return;
    }
    sleepFor(Milliseconds(8000));
    for (int round = 0; round < rounds; ++round) {
        if (isTroubled()) {
            record.add("the store answers 503");
            fleet.store().setDown(true);
        }
        sleepFor(outage);
        fleet.store().setDown(false);
        const auto returnedAt = Clock::now();
        record.add("the store answers");
        sleepFor(fromReturnToChange);
        const std::string service = round % 2 == 0 ? "archive" : "ledger";
        fleet.putManifest(manifestWith(++version, service));
        const auto acknowledgedAt = Clock::now();
        record.add("acknowledged: version r" + std::to_string(version) + " moves the route to " + service);
        const auto begin = std::max(acknowledgedAt + configApply, returnedAt + stability) + margin;
        std::vector<std::thread> clients;
        for (std::size_t i = 0; i < hosts; ++i)
            clients.emplace_back([&, i] { observe(fleet, fleet.host(i), service, begin, begin + observation); });
        for (auto& client : clients)
            client.join();
        sleepFor(calm);
    }
    fleet.stop();
}

} // namespace

auto main(int, char** arguments) -> int
{
    Record record(std::string(arguments[1]) + "/record.txt");
    std::vector<std::thread> plays;
    for (std::size_t i = 0; i < deployments; ++i) {
        plays.emplace_back([&record] { play(record); });
        sleepFor(Milliseconds(50));
    }
    for (auto& running : plays)
        running.join();
    record.add("result: " + std::to_string(broken) + " requests were handled as only an older version allows");
    std::fflush(nullptr);
    _exit(notReady > 0 ? couldNotRun : broken > 0 ? ruleBroken : ruleHeld);
}
