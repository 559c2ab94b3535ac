// A request within a raised limit of the manifest ends a daemon: see ../15/claim.txt.
#include "KeptClients.h"

#include <algorithm>
#include <iostream>

using namespace standin;

namespace {

constexpr std::int64_t workMs = 800;
constexpr std::size_t usualLimit = 16384;
constexpr std::size_t raisedLimit = 131072;
constexpr std::size_t headOverhead = 1384; // what the head takes beside the large field, at most

int play(const std::string& root, Record& record)
{
    Deployment deployment(root, record, "127.0.75.");
    for (std::size_t i = 0; i < 4; ++i)
        deployment.addHost("ledger");
    const auto manifest = [](int version, std::size_t limit) {
        auto value = makeManifest(version,
            { { .name = "book", .prefix = "/book/", .kind = "non_idempotent" },
                { .name = "view", .prefix = "/view/" } },
            { { "sangh", { "key-of-the-sangh" }, 1, 0, 0 } }, { "ledger" });
        value["limits"]["max_header_bytes"] = limit;
        return value;
    };
    deployment.configure(manifest(1, usualLimit));
    if (!deployment.startAll(workMs, 10))
        return 2;
    pause(2000);
    const auto limit = hasTrouble() ? raisedLimit : usualLimit;
    if (hasTrouble()) {
        record.line("operator: raises max_header_bytes to " + std::to_string(raisedLimit));
        deployment.configure(manifest(2, raisedLimit));
        pause(4000); // more than `config_apply`
    }
    auto& daemon = *deployment.hosts[0].daemon;
    KeptClients clients(daemon.outbound(), 8, record);
    if (!clients.areServed())
        return 2;

    std::thread other([&daemon, &record, limit] {
        pause(workMs / 2);
        const auto wire = connectTo(daemon.outbound(), 1000);
        const std::string cookie(std::min<std::size_t>(66000, limit - headOverhead), 'c');
        const bool isSent = wire
            && wire->write("GET /view/1 HTTP/1.1\r\nHost: shop.example\r\nApi-Key: key-of-the-sangh\r\n"
                           "X-Deadline-Milliseconds: 8000\r\nX-Request-Id: "
                + newId() + "\r\nCookie: " + cookie + "\r\n\r\n");
        record.line("client: sends a request with a field of " + std::to_string(cookie.size()) + " bytes");
        const auto answer = isSent ? wire->read(6000, true) : std::nullopt;
        record.line("client: gets " + (answer ? std::to_string(answer->status()) : std::string("no answer")));
    });
    const auto lost = clients.bookAgain(deployment);
    other.join();
    pause(500);
    const bool hasEnded = !daemon.isRunning();
    const auto result = std::to_string(lost) + " bookings ran and have no answer, the daemon "
        + (hasEnded ? "has ended by itself" : "lives");
    record.line("result: " + result);
    std::cout << result << '\n';
    return lost > 3 || hasEnded ? 1 : 0;
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
