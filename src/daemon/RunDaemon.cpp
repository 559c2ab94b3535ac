#include "daemon/RunDaemon.h"

#include "base/Error.h"
#include "kernel/Kernel.h"
#include "log/Event.h"
#include "settings/SettingDefinition.h"
#include "settings/Settings.h"

#include <QCoreApplication>
#include <QSocketNotifier>
#include <algorithm>
#include <array>
#include <csignal>
#include <iostream>
#include <sys/signalfd.h>
#include <unistd.h>

namespace coriandergate::daemon {

namespace {

    const settings::SettingRegistration logLevel { { "log-level", settings::IntegerKind { 0, 2 }, "0",
        "least severity of log lines: 0 info, 1 warning, 2 error" } };

    const log::Event startFailed { 1000, log::Severity::Error, "start failed", "the reason names step and peer" };

    constexpr int exitStartFailed = 1;
    constexpr int exitBadSettings = 2;
    constexpr auto programName = "coriandergated";
    constexpr auto programSummary = "the daemon that stands on each target host";

    // Blocks the signals of a planned stop in this and all later threads; they are read from the result instead.
    auto openStopSignals() -> int
    {
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGTERM);
        sigaddset(&signals, SIGINT);
        pthread_sigmask(SIG_BLOCK, &signals, nullptr);
        std::signal(SIGPIPE, SIG_IGN);
        return signalfd(-1, &signals, SFD_CLOEXEC | SFD_NONBLOCK);
    }

    auto asksFor(const std::vector<std::string>& arguments, std::string_view flag) -> bool
    {
        return std::find(arguments.begin(), arguments.end(), flag) != arguments.end();
    }

    auto serve(int argc, char** argv, std::shared_ptr<settings::Settings> settings) -> int
    {
        const int stopSignals = openStopSignals();
        QCoreApplication application(argc, argv);
        kernel::Kernel kernel;
        kernel.provide(std::move(settings));
        Error reason;
        if (!kernel.start(reason)) {
            log::logEvent(startFailed, { { "reason", reason.toText() } });
            return exitStartFailed;
        }
        QSocketNotifier notifier(stopSignals, QSocketNotifier::Read);
        QObject::connect(&notifier, &QSocketNotifier::activated, &application, [] { QCoreApplication::quit(); });
        QCoreApplication::exec();
        kernel.stop();
        ::close(stopSignals);
        return 0;
    }

} // namespace

auto runDaemon(int argc, char** argv) -> int
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    if (asksFor(arguments, "--help") || asksFor(arguments, "-h")) {
        std::cout << settings::usageText(programName, programSummary);
        return 0;
    }
    if (asksFor(arguments, "--version")) {
        std::cout << programName << " " << CORIANDERGATE_VERSION << '\n';
        return 0;
    }
    if (asksFor(arguments, "--event-catalogue")) {
        std::cout << log::catalogueText();
        return 0;
    }
    std::vector<Error> faults;
    auto settings
        = settings::readSettings(programName, programSummary, arguments, settings::processEnvironment(), faults);
    if (!settings) {
        for (const auto& fault : faults)
            std::cerr << fault.toText() << '\n';
        return exitBadSettings;
    }
    log::startLogging(static_cast<log::Severity>(settings->integer("log-level")));
    return serve(argc, argv, std::make_shared<settings::Settings>(std::move(*settings)));
}

} // namespace coriandergate::daemon
