// Relays connections and datagrams to one upstream and takes faults as lines on its standard input.
#include "base/Error.h"
#include "testing/FaultProxy.h"

#include <docopt.h>

#include <QCoreApplication>
#include <QSocketNotifier>

#include <iostream>
#include <string>
#include <unistd.h>

namespace {

constexpr auto usage = R"(Relays TCP and UDP of one loopback port to another, with faults by command.

Usage:
  coriandergate-fault-proxy --upstream=PORT [--listen=PORT] [--upstream-address=IP] [--listen-address=IP]
  coriandergate-fault-proxy --help

Options:
  --upstream=PORT         Port to relay to, 1 to 65535.
  --listen=PORT           Port to listen on, 0 for any free one [default: 0].
  --upstream-address=IP   Loopback address to relay to [default: 127.0.0.1].
  --listen-address=IP     Loopback address to listen on [default: 127.0.0.1].

Each line of the standard input is a fault: none, delay MS, cut-request BYTES, cut-answer BYTES, half-answer,
drop-requests, drop-answers, refuse, stall. The word "bytes" prints the bytes relayed so far.
)";

constexpr std::size_t readSize = 4096;

auto obey(coriandergate::testing::FaultProxy& proxy, const std::string& line) -> void
{
    coriandergate::Error reason;
    if (line == "bytes") {
        std::cout << "ok " << proxy.bytesToUpstream() << ' ' << proxy.bytesToCaller() << std::endl;
    } else if (const auto fault = coriandergate::testing::parseFault(line, reason)) {
        proxy.setFault(*fault);
        std::cout << "ok" << std::endl;
    } else {
        std::cout << "error " << reason.toText() << std::endl;
    }
}

}

auto main(int argumentCount, char** arguments) -> int
{
    QCoreApplication application(argumentCount, arguments);
    auto options = docopt::docopt(usage, { arguments + 1, arguments + argumentCount }, true, "");
    coriandergate::testing::FaultProxy proxy({
        .listenPort = static_cast<std::uint16_t>(options["--listen"].asLong()),
        .upstreamPort = static_cast<std::uint16_t>(options["--upstream"].asLong()),
        .listenAddress = options["--listen-address"].asString(),
        .upstreamAddress = options["--upstream-address"].asString(),
    });
    coriandergate::Error reason;
    if (!proxy.start(reason)) {
        std::cerr << reason.toText() << std::endl;
        return 1;
    }
    std::cout << "listening on " << options["--listen-address"].asString() << ":" << proxy.port() << std::endl;

    std::string pending;
    QSocketNotifier input(STDIN_FILENO, QSocketNotifier::Read);
    QObject::connect(&input, &QSocketNotifier::activated, &application, [&] {
        char bytes[readSize];
        const auto count = ::read(STDIN_FILENO, bytes, sizeof(bytes));
        if (count <= 0) {
            application.quit();
            return;
        }
        pending.append(bytes, static_cast<std::size_t>(count));
        for (auto end = pending.find('\n'); end != std::string::npos; end = pending.find('\n')) {
            obey(proxy, pending.substr(0, end));
            pending.erase(0, end + 1);
        }
    });
    return QCoreApplication::exec();
}
