#include "base/Error.h"
#include "log/BoundedWriter.h"
#include "log/Event.h"
#include "platform/ConfigurationCodec.h"
#include "platform/ControlCalls.h"
#include "platform/Names.h"
#include "platform/PlatformStore.h"
#include "platform/SettingsFile.h"
#include "sidecar/Sidecar.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <cstdlib>
#include <docopt/docopt.h>
#include <fcntl.h>
#include <iostream>
#include <unistd.h>

using namespace coriandergate;

namespace {

const log::Event settingsRead { 1931, log::Severity::Info, "settings read",
    "what changed holds from the next start of the daemon" };
const log::Event settingsRefused { 1932, log::Severity::Error, "settings refused",
    "those read last stay in force; the reason names the field" };

constexpr int exitStartFailed = 1;
constexpr int exitBadSettings = 2;

constexpr auto usage = R"(coriandergate-sidecar: the daemon that stands on each target host of the platform

Usage:
  coriandergate-sidecar [--settings=FILE] [--log-level=LEVEL]
  coriandergate-sidecar --check-settings [--settings=FILE]
  coriandergate-sidecar --event-catalogue
  coriandergate-sidecar (-h | --help)
  coriandergate-sidecar --version

Options:
  --settings=FILE     the settings file; by default what CORIANDERGATE_BOOT names
  --log-level=LEVEL   least severity of log lines: 0 info, 1 warning, 2 error [default: 0]
  --check-settings    read the settings, say what is wrong with them, and end
  --event-catalogue   print every log event
)";

// Gathers log lines and writes them to standard output a moment later, without ever waiting for it.
class LogOutput {
public:
    explicit LogOutput(boost::asio::io_context& io)
        : m_timer(io)
    {
        const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
        ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }

    auto add(const std::string& line) -> void
    {
        if (m_writer.add(line, monotonicNow()))
            scheduleFlush();
    }

    auto flush() -> void
    {
        if (!m_writer.flush(STDOUT_FILENO, monotonicNow()))
            scheduleFlush();
    }

private:
    auto scheduleFlush() -> void
    {
        constexpr std::chrono::milliseconds delay { 100 };
        m_timer.expires_after(delay);
        m_timer.async_wait([this](const boost::system::error_code& error) {
            if (!error)
                flush();
        });
    }

    log::BoundedWriter m_writer { {} };
    boost::asio::steady_timer m_timer;
};

auto settingsPath(const std::map<std::string, docopt::value>& arguments) -> std::string
{
    const auto found = arguments.find("--settings");
    if (found != arguments.end() && found->second.isString())
        return found->second.asString();
    const char* path = std::getenv(platform::settingsVariable);
    return path ? path : "";
}

auto platformAdapter() -> sidecar::Adapter
{
    return { .headers = platform::headerNames(),
        .readinessPath = std::string(platform::readinessPath),
        .operatorTable = platform::operatorTable,
        .configurationKey = platform::configurationKey,
        .decodeConfiguration = platform::decodeConfiguration,
        .decodeControlCall = platform::decodeControlCall };
}

auto readSettings(const std::string& path) -> std::optional<sidecar::HostSettings>
{
    std::vector<Error> faults;
    auto settings = platform::readSettingsFile(path, faults);
    for (const auto& fault : faults)
        std::cerr << fault.toText() << '\n';
    return settings;
}

auto serve(const sidecar::HostSettings& settings, const std::string& path, log::Severity minimum) -> int
{
    std::signal(SIGPIPE, SIG_IGN);
    constexpr int oneThread = 1;
    boost::asio::io_context io(oneThread);
    LogOutput output(io);
    log::startLogging(minimum, [&output](const std::string& line) { output.add(line); });
    platform::PlatformStore store(io, settings.storeAddress);
    sidecar::Sidecar daemon(io, settings, platformAdapter(), store);
    Error reason;
    if (!daemon.start(reason)) {
        std::cerr << reason.toText() << '\n';
        output.flush();
        return exitStartFailed;
    }
    boost::asio::signal_set stopSignals(io, SIGTERM, SIGINT);
    stopSignals.async_wait([&daemon](const boost::system::error_code& error, int) {
        if (!error)
            daemon.stop();
    });
    boost::asio::signal_set reloadSignals(io, SIGHUP);
    std::function<void()> awaitReload = [&] {
        reloadSignals.async_wait([&](const boost::system::error_code& error, int) {
            if (error)
                return;
            std::vector<Error> faults;
            const auto read = platform::readSettingsFile(path, faults);
            for (const auto& fault : faults)
                log::logEvent(settingsRefused, { { "reason", fault.toText() } });
            if (read)
                log::logEvent(settingsRead, { { "changed", *read == settings ? "no" : "yes" } });
            awaitReload();
        });
    };
    awaitReload();
    io.run();
    output.flush();
    return 0;
}

} // namespace

auto main(int argc, char** argv) -> int
{
    const auto arguments
        = docopt::docopt(usage, { argv + 1, argv + argc }, true, std::string("coriandergate-sidecar ") + CORIANDERGATE_VERSION);
    if (arguments.at("--event-catalogue").asBool()) {
        std::cout << log::catalogueText();
        return 0;
    }
    const auto path = settingsPath(arguments);
    const auto settings = readSettings(path);
    if (!settings)
        return exitBadSettings;
    if (arguments.at("--check-settings").asBool()) {
        std::cout << "settings are good: " << path << '\n';
        return 0;
    }
    return serve(*settings, path, static_cast<log::Severity>(arguments.at("--log-level").asLong()));
}
