// A daemon that is started while the store is slow breaks off requests before their time: see ../13/claim.txt.
#include "Deployment.h"

#include <csignal>
#include <iostream>

using namespace standin;

namespace {

constexpr std::int64_t timeoutMs = 1500; // of the route
constexpr std::int64_t workMs = 1330;
constexpr std::int64_t slowAnswerMs = 240; // 60 times the store's usual 4 ms
constexpr std::int64_t slowForMs = 4500;
constexpr std::size_t hostCount = 6;
constexpr std::size_t firstRestarted = 3; // the later hosts are restarted
constexpr std::size_t requestsPerHost = 6;

struct Sent {
    Call call;
    Outcome outcome;
};

// isBrokenOff() says that the daemon answered in place of the instance that was still at work, before the route's
// timeout and the client's time budget.
bool isBrokenOff(const Sent& sent, const Deployment& deployment)
{
    const auto& outcome = sent.outcome;
    const bool hasOwnAnswer = outcome.how != "answered" || outcome.signature.empty();
    if (!hasOwnAnswer || outcome.endedMs - outcome.sentMs >= timeoutMs - 50)
        return false;
    for (const auto& host : deployment.hosts) {
        for (const auto& run : host.instance->runs()) {
            if (run.request == sent.call.id && run.isCut)
                return true;
        }
    }
    return false;
}

int play(const std::string& root, Record& record)
{
    Deployment deployment(root, record);
    for (std::size_t i = 0; i < hostCount; ++i)
        deployment.addHost("ledger");
    deployment.configure(makeManifest(1,
        { { .name = "book",
            .prefix = "/book/",
            .kind = "non_idempotent",
            .timeout = std::to_string(timeoutMs) + "ms" } },
        { { "sangh", { "key-of-the-sangh" }, 1, 0, 0 } }, { "ledger" }));
    if (!deployment.startAll(workMs))
        return 2;
    pause(7000);
    record.line("planned: hosts from " + std::to_string(firstRestarted + 1) + " on are restarted");
    for (std::size_t i = firstRestarted; i < hostCount; ++i)
        deployment.hosts[i].daemon->signal(SIGTERM);
    for (std::size_t i = firstRestarted; i < hostCount; ++i) {
        if (!deployment.hosts[i].daemon->waitForEnd(7000))
            return 2;
    }
    if (hasTrouble()) {
        record.line("trouble: the store's answers take " + std::to_string(slowAnswerMs) + " ms");
        deployment.store.setAnswerTime(slowAnswerMs);
    }
    const auto slowUntil = steadyMs() + slowForMs;
    for (std::size_t i = firstRestarted; i < hostCount; ++i)
        deployment.hosts[i].daemon->start(false);
    pause(slowUntil - steadyMs());
    deployment.store.setAnswerTime(4);
    record.line("the store is as usual");
    if (!deployment.waitUntilReady(10000))
        return 2;
    pause(5000); // more than `stability`

    std::size_t brokenOff = 0;
    std::size_t served = 0;
    for (std::size_t i = firstRestarted; i < hostCount; ++i) {
        auto& daemon = *deployment.hosts[i].daemon;
        std::vector<Sent> sent(requestsPerHost);
        std::vector<std::thread> clients;
        for (auto& one : sent) {
            one.call = { .method = "POST",
                .path = "/book/1",
                .id = newId(),
                .key = "key-of-the-sangh",
                .body = "a dispatch",
                .deadlineMs = 10000 };
            clients.emplace_back([&one, &daemon, &record] { one.outcome = call(daemon.outbound(), one.call, record); });
        }
        pause(300);
        daemon.signal(SIGTERM);
        for (auto& client : clients)
            client.join();
        for (const auto& one : sent) {
            served += one.outcome.status == 200 ? 1 : 0;
            if (!isBrokenOff(one, deployment))
                continue;
            ++brokenOff;
            record.line("LOST: request " + one.call.id + " was broken off after "
                + std::to_string(one.outcome.endedMs - one.outcome.sentMs) + " ms, its instance was at work");
        }
        if (!daemon.waitForEnd(7000))
            return 2;
        daemon.start(false);
        if (!waitUntil(10000, [&daemon] { return daemon.isReady(); }))
            return 2;
        pause(1000);
    }
    record.line("result: " + std::to_string(served) + " served, " + std::to_string(brokenOff) + " broken off");
    std::cout << served << " served, " << brokenOff << " broken off\n";
    if (served + brokenOff == 0)
        return 2;
    return brokenOff > 0 ? 1 : 0;
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
