// Instances reject some requests, and a few of these rejections come a second time, late, where the next response on
// the connection is expected. Checks that no request of a non_idempotent route runs twice or is refused after it ran.
#include "../standin/Fleet.h"

#include <algorithm>
#include <chrono>
#include <iostream>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

using namespace review;

namespace {

constexpr int loadSeconds = 5; // `for_s` of the disruption
constexpr std::size_t clientsPerHost = 5;
constexpr double shedFraction = 0.55; // of the requests of an instance, at most
constexpr double extraFraction = 0.03; // of the answers of an instance, at most
constexpr std::size_t faultyInstances = 1; // of two: a share of 0.6

struct Ledger {
    std::mutex mutex;
    std::map<std::string, int> runs; // by request id
    std::map<std::string, std::map<std::string, int>> arrivals; // by request id and instance's number
};

} // namespace

auto main(int argc, char** argv) -> int
{
    Record record(argc > 1 ? argv[1] : "record.txt");
    Ledger ledger;
    const bool troubled = isTroubled();
    std::atomic<bool> isOn = false;
    std::map<std::string, std::pair<long, long>> counts; // by instance: arrivals, and copies sent
    std::map<std::string, long> sheds;
    const auto chooseFate = [&](const Message& request) {
        const std::lock_guard lock(ledger.mutex);
        const auto id = request.header("X-Request-Id").value_or("");
        const auto instance = request.header("X-Expected-Instance").value_or("");
        const int arrival = ++ledger.arrivals[id][instance];
        auto& [arrivals, copies] = counts[instance];
        ++arrivals;
        // Marked requests are rejected at their first arrival at each of the instances.
        const bool isMarked = id.ends_with("-marked");
        if (!troubled || !isOn || !isMarked || arrival > 1 || sheds[instance] + 1 > shedFraction * arrivals)
            return Instance::Fate::Run;
        ++sheds[instance];
        const bool isFaulty = instance.starts_with("i-ledger-1-"); // one of two, within a share of 0.6
        if (!isFaulty || copies + 1 > extraFraction * arrivals)
            return Instance::Fate::Shed;
        ++copies;
        return Instance::Fate::ShedTwice;
    };
    const auto started = [&](const Message& request, const std::string& instance) {
        const auto id = request.header("X-Request-Id").value_or("");
        const std::lock_guard lock(ledger.mutex);
        ++ledger.runs[id];
        record.line("instance " + instance + " begins to run " + id);
    };
    Fleet fleet(record, { { .name = "ledger", .instances = 2, .workMs = 40 } }, chooseFate, started);
    if (!fleet.start()) {
        std::cerr << "the deployment didn't come up\n";
        fleet.stop();
        finish(2);
    }
    isOn = true;
    std::mutex mutex;
    std::map<std::string, int> statuses;
    std::vector<std::thread> clients;
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(loadSeconds);
    for (std::size_t number = 0; number < fleet.size() * clientsPerHost; ++number) {
        clients.emplace_back([&, number] {
            Client client(fleet.host(number % fleet.size()).callers());
            for (int i = 1; std::chrono::steady_clock::now() < end; ++i) {
                // One client at each machine sends the marked requests, one in 8 of its own.
                const bool isMarked = number < fleet.size() && i % 8 == 0;
                const auto id = "c" + std::to_string(number) + "-" + std::to_string(i) + (isMarked ? "-marked" : "");
                const auto outcome = client.send("POST", "/book-ledger/1", id, "one order");
                record.line("client got " + std::to_string(outcome.status) + " for " + id);
                {
                    const std::lock_guard lock(mutex);
                    statuses[id] = outcome.status;
                }
                std::this_thread::sleep_for(std::chrono::milliseconds(10));
            }
        });
    }
    for (auto& client : clients)
        client.join();
    std::this_thread::sleep_for(std::chrono::seconds(2));
    fleet.stop();
    const std::lock_guard lock(ledger.mutex);
    int twice = 0;
    int falselyRefused = 0;
    int served = 0;
    for (const auto& [id, status] : statuses) {
        const auto found = ledger.runs.find(id);
        const int runs = found == ledger.runs.end() ? 0 : found->second;
        served += status == 200 ? 1 : 0;
        if (runs > 1) {
            ++twice;
            record.line("TWICE: " + id + " ran " + std::to_string(runs) + " times, answered " + std::to_string(status));
        }
        if (runs > 0 && (status == 503 || status == 429)) {
            ++falselyRefused;
            record.line("REFUSED: " + id + " ran and was answered " + std::to_string(status));
        }
    }
    for (const auto& [instance, count] : counts)
        record.line("instance " + instance + ": " + std::to_string(count.first) + " arrivals, "
            + std::to_string(sheds[instance]) + " rejected, " + std::to_string(count.second)
            + " rejections sent twice");
    const auto summary = std::to_string(statuses.size()) + " requests sent, " + std::to_string(served) + " served, "
        + std::to_string(twice) + " ran twice, " + std::to_string(falselyRefused) + " ran and were refused";
    record.line(summary);
    std::cout << summary << std::endl;
    if (served * 2 < static_cast<int>(statuses.size()))
        finish(2);
    finish(twice + falselyRefused > 0 ? 1 : 0);
}
