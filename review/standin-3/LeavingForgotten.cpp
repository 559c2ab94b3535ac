// A daemon acknowledges that a new instance leaves, and sends it requests after a late ping: see ../14/claim.txt.
#include "Deployment.h"

#include <iostream>

using namespace standin;

namespace {

constexpr std::int64_t drainMs = 2500;
constexpr std::int64_t workMs = 150;

int play(const std::string& root, Record& record)
{
    Deployment deployment(root, record, "127.0.72.");
    for (std::size_t i = 0; i < 3; ++i)
        deployment.addHost("ledger");
    deployment.configure(makeManifest(1, { { .name = "book", .prefix = "/book/", .kind = "non_idempotent" } },
        { { "sangh", { "key-of-the-sangh" }, 1, 0, 0 } }, { "ledger" }));
    if (!deployment.startAll(workMs))
        return 2;
    pause(6000);

    auto& host = deployment.hosts[0];
    record.line("instance " + host.instance->id() + " crashes");
    host.instance->stop();
    pause(1000);
    auto& instance = deployment.startInstance(0, workMs);
    const auto firstPing = instance.heartbeatBody("ready");
    if (hasTrouble())
        record.line("trouble: the pings of " + instance.id() + " are held up");
    else
        record.line("ping of " + instance.id() + ": answer "
            + std::to_string(instance.callControl("instances.heartbeat", firstPing)));
    pause(1600);
    const auto secondPing = instance.heartbeatBody("ready");
    if (!hasTrouble())
        instance.callControl("instances.heartbeat", secondPing);
    pause(1000);
    if (!instance.deregister())
        return 2;
    const auto acknowledgedMs = steadyMs();
    pause(200);
    if (hasTrouble()) {
        record.line("late ping of " + instance.id() + ": answer "
            + std::to_string(instance.callControl("instances.heartbeat", firstPing)));
        record.line("late ping of " + instance.id() + ": answer "
            + std::to_string(instance.callControl("instances.heartbeat", secondPing)));
    }

    // The instance serves until `drain` has passed and some seconds longer.
    std::vector<std::thread> clients;
    std::atomic<int> served { 0 };
    std::atomic<int> failed { 0 };
    while (steadyMs() < acknowledgedMs + drainMs + 4000) {
        auto& entry = *deployment.hosts[clients.size() % deployment.hosts.size()].daemon;
        clients.emplace_back([&entry, &record, &served, &failed] {
            const auto outcome = call(entry.outbound(),
                { .method = "POST", .path = "/book/1", .id = newId(), .key = "key-of-the-sangh", .body = "a dispatch" },
                record);
            ++(outcome.status == 200 ? served : failed);
        });
        pause(60);
    }
    instance.stop();
    for (auto& client : clients)
        client.join();
    int late = 0;
    int cut = 0;
    for (const auto& run : instance.runs()) {
        if (run.beganMs <= acknowledgedMs + drainMs)
            continue;
        ++late;
        cut += run.isCut ? 1 : 0;
    }
    const auto result = std::to_string(served) + " served, " + std::to_string(failed) + " not, " + std::to_string(late)
        + " reached the leaving instance later than drain after the acknowledgement";
    record.line("result: " + result);
    std::cout << result << '\n';
    if (served == 0)
        return 2;
    return late > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 3)
        return 2;
    Record record(argv[2]);
    try {
        return play(argv[1], record);
    } catch (const std::exception& error) {
        record.line(std::string("could not run: ") + error.what());
        return 2;
    }
}
