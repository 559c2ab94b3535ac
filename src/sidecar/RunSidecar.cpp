#include "sidecar/RunSidecar.h"

#include "base/Error.h"
#include "fleet/StoreClient.h"
#include "log/Event.h"
#include "net/Endpoint.h"
#include "sidecar/LogOutput.h"
#include "sidecar/Sidecar.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <cstdlib>
#include <docopt/docopt.h>
#include <iostream>
#include <map>
#include <optional>

namespace coriandergate::sidecar {

namespace {

    const log::Event settingsRead { 1931, log::Severity::Info, "settings read",
        "what changed holds from the next start of the daemon" };
    const log::Event settingsRefused { 1932, log::Severity::Error, "settings refused",
        "those read last stay in force; the reason names the field" };

    constexpr int exitStartFailed = 1;
    constexpr int exitBadSettings = 2;

    constexpr auto usage = R"(coriandergate-sidecar: the daemon that stands on each target host of the platform

Usage:
  coriandergate-sidecar [--settings=FILE] [--log-level=LEVEL] [--peer-address=ADDRESS]
  coriandergate-sidecar --check-settings [--settings=FILE]
  coriandergate-sidecar --event-catalogue
  coriandergate-sidecar (-h | --help)
  coriandergate-sidecar --version

Options:
  --settings=FILE     the settings file; by default what CORIANDERGATE_BOOT names
  --log-level=LEVEL   least severity of log lines: 0 info, 1 warning, 2 error [default: 0]
  --peer-address=ADDRESS  IP number and port where other daemons reach this one, if not where it listens
  --check-settings    read the settings, say what is wrong with them, and end
  --event-catalogue   print every log event
)";

    auto settingsPath(const std::map<std::string, docopt::value>& arguments, const PlatformBindings& port)
        -> std::string
    {
        const auto found = arguments.find("--settings");
        if (found != arguments.end() && found->second.isString())
            return found->second.asString();
        const char* path = std::getenv(port.settingsVariable.c_str());
        return path ? path : "";
    }

    // The file may change without a signal; nobody waits for what it says then.
    constexpr std::chrono::seconds settingsPeriod { 5 };

    // Reads the settings again at each SIGHUP and now and then, and says whether they changed.
    class SettingsWatch {
    public:
        SettingsWatch(boost::asio::io_context& io, const PlatformBindings& port, std::string path, HostSettings inForce)
            : m_signals(io, SIGHUP)
            , m_timer(io)
            , m_port(port)
            , m_path(std::move(path))
            , m_inForce(std::move(inForce))
            , m_lastRead(m_inForce)
        {
            awaitSignal();
            awaitPeriod();
        }

    private:
        auto awaitSignal() -> void
        {
            m_signals.async_wait([this](const boost::system::error_code& error, int) {
                if (error)
                    return;
                readAgain(true);
                awaitSignal();
            });
        }

        auto awaitPeriod() -> void
        {
            m_timer.expires_after(settingsPeriod);
            m_timer.async_wait([this](const boost::system::error_code& error) {
                if (error)
                    return;
                readAgain(false);
                awaitPeriod();
            });
        }

        // Without a signal only what is new is logged.
        auto readAgain(bool isAsked) -> void
        {
            std::vector<Error> faults;
            auto read = m_port.readSettings(m_path, faults);
            if (read)
                read->peerAddress = m_inForce.peerAddress; // of the command line
            if (!isAsked && read == m_lastRead)
                return;
            for (const auto& fault : faults)
                log::logEvent(settingsRefused, { { "reason", fault.toText() } });
            if (read)
                log::logEvent(settingsRead, { { "changed", *read == m_inForce ? "no" : "yes" } });
            m_lastRead = read;
        }

        boost::asio::signal_set m_signals;
        boost::asio::steady_timer m_timer;
        const PlatformBindings& m_port;
        std::string m_path;
        HostSettings m_inForce;
        std::optional<HostSettings> m_lastRead; // nothing while the file can't be read
    };

    auto serve(const HostSettings& settings, const std::string& path, const PlatformBindings& port,
        log::Severity minimum) -> int
    {
        std::signal(SIGPIPE, SIG_IGN);
        constexpr int oneThread = 1;
        boost::asio::io_context io(oneThread);
        LogOutput output(io);
        log::startLogging(minimum, [&output](const std::string& line) { output.add(line); });
        const auto store = port.makeStore(io, settings.storeAddress);
        Sidecar daemon(io, settings, port.adapter, *store);
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
        const SettingsWatch watch(io, port, path, settings);
        io.run();
        output.flush();
        return 0;
    }

} // namespace

auto runSidecar(int argc, char** argv, const PlatformBindings& port) -> int
{
    const auto version = std::string("coriandergate-sidecar ") + CORIANDERGATE_VERSION;
    const auto arguments = docopt::docopt(usage, { argv + 1, argv + argc }, true, version);
    if (arguments.at("--event-catalogue").asBool()) {
        std::cout << log::catalogueText();
        return 0;
    }
    const auto path = settingsPath(arguments, port);
    std::vector<Error> faults;
    auto settings = port.readSettings(path, faults);
    if (settings && arguments.at("--peer-address").isString()) {
        Error reason;
        settings->peerAddress = arguments.at("--peer-address").asString();
        if (!net::parseEndpoint(settings->peerAddress, reason)) {
            faults.push_back(reason);
            settings.reset();
        }
    }
    for (const auto& fault : faults)
        std::cerr << fault.toText() << '\n';
    const auto level = arguments.at("--log-level").asString();
    if (level != "0" && level != "1" && level != "2") {
        std::cerr << "read arguments (--log-level): 0, 1 or 2 is needed\n";
        return exitBadSettings;
    }
    if (!settings)
        return exitBadSettings;
    if (arguments.at("--check-settings").asBool()) {
        std::cout << "settings are good: " << path << '\n';
        return 0;
    }
    return serve(*settings, path, port, static_cast<log::Severity>(level.front() - '0'));
}

} // namespace coriandergate::sidecar
