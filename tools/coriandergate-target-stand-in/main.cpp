// A target for tests and first tries; see src/testing/StandInTarget.h.
#include "base/Error.h"
#include "testing/StandInTarget.h"

#include <docopt.h>

#include <QCoreApplication>
#include <QSocketNotifier>

#include <csignal>
#include <iostream>
#include <sys/signalfd.h>
#include <unistd.h>

namespace {

constexpr auto usage = R"(A stand-in target on loopback that announces itself and misbehaves on command.

Usage:
  coriandergate-target-stand-in --service=NAME [options]
  coriandergate-target-stand-in --help

Options:
  --service=NAME     Service to announce.
  --listen=PORT      Port of 127.0.0.1 to listen on, 0 for any free one [default: 0].
  --slots=COUNT      Requests taken at once, as announced [default: 6].
  --service-time=MS  Time for each request [default: 0].
  --announce=ADMIN   IP:port of the daemon's admin listener.
  --linger=MS        Time to serve on after SIGTERM [default: 3500].
)";

auto optionsFrom(std::map<std::string, docopt::value>& arguments) -> coriandergate::testing::StandInTarget::Options
{
    coriandergate::testing::StandInTarget::Options options;
    options.service = arguments["--service"].asString();
    options.port = static_cast<std::uint16_t>(arguments["--listen"].asLong());
    options.slots = static_cast<std::uint32_t>(arguments["--slots"].asLong());
    options.serviceTime = std::chrono::milliseconds(arguments["--service-time"].asLong());
    options.linger = std::chrono::milliseconds(arguments["--linger"].asLong());
    if (arguments["--announce"])
        options.admin = arguments["--announce"].asString();
    return options;
}

// openTerminateSignal() turns SIGTERM into a readable file descriptor, which the event loop can wait for.
auto openTerminateSignal() -> int
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigprocmask(SIG_BLOCK, &signals, nullptr);
    return signalfd(-1, &signals, SFD_CLOEXEC);
}

}

auto main(int argumentCount, char** arguments) -> int
{
    const auto terminateSignal = openTerminateSignal();
    QCoreApplication application(argumentCount, arguments);
    auto parsed = docopt::docopt(usage, { arguments + 1, arguments + argumentCount }, true, "");
    coriandergate::testing::StandInTarget target(optionsFrom(parsed));
    coriandergate::Error reason;
    if (!target.start(reason)) {
        std::cerr << reason.toText() << std::endl;
        return 1;
    }
    std::cout << "listening on 127.0.0.1:" << target.port() << std::endl;
    QSocketNotifier notifier(terminateSignal, QSocketNotifier::Read);
    QObject::connect(&notifier, &QSocketNotifier::activated, &application, [&] {
        signalfd_siginfo information;
        [[maybe_unused]] const auto count = ::read(terminateSignal, &information, sizeof(information));
        std::cout << "leaving" << std::endl;
        target.leave([] { QCoreApplication::quit(); });
    });
    return QCoreApplication::exec();
}
