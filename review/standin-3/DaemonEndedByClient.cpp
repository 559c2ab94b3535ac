// A client that nobody controls ends a daemon by a long trailer behind other requests: see ../11/claim.txt.
#include "KeptClients.h"

#include <iostream>

using namespace standin;

namespace {

constexpr std::int64_t workMs = 800;
constexpr int pipelined = 16; // repeatable requests before the one with the trailer
constexpr std::size_t longTrailer = 66000;
constexpr std::size_t shortTrailer = 1000;

std::string head(const std::string& line)
{
    return line + " HTTP/1.1\r\nHost: shop.example\r\nApi-Key: key-of-the-sangh\r\nX-Deadline-Milliseconds: 8000\r\n"
        + "X-Request-Id: " + newId() + "\r\n";
}

int play(const std::string& root, Record& record)
{
    Deployment deployment(root, record, "127.0.73.");
    for (std::size_t i = 0; i < 4; ++i)
        deployment.addHost("ledger");
    deployment.configure(makeManifest(1,
        { { .name = "book", .prefix = "/book/", .kind = "non_idempotent" }, { .name = "view", .prefix = "/view/" } },
        { { "sangh", { "key-of-the-sangh" }, 1, 0, 0 } }, { "ledger" }));
    if (!deployment.startAll(workMs, 10))
        return 2;
    pause(2000);
    auto& daemon = *deployment.hosts[0].daemon;
    KeptClients clients(daemon.outbound(), 8, record);
    if (!clients.areServed())
        return 2;

    const auto trailer = hasTrouble() ? longTrailer : shortTrailer;
    std::string bytes;
    for (int i = 0; i < pipelined; ++i)
        bytes += head("GET /view/1") + "\r\n";
    bytes += head("POST /book/1") + "Transfer-Encoding: chunked\r\n\r\na\r\na dispatch\r\n0\r\nX-Checksum: "
        + std::string(trailer, 'c') + "\r\n\r\n";
    const auto wire = connectTo(daemon.outbound(), 1000);
    if (!wire || !wire->write(bytes))
        return 2;
    record.line("uncontrolled client: sends " + std::to_string(pipelined)
        + " pipelined requests and one in chunks with a trailer of " + std::to_string(trailer) + " bytes");
    pause(workMs / 2);
    const auto lost = clients.bookAgain(deployment);
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
