#include "sidecar/RunSidecar.h"

#include "base/Error.h"
#include "fleet/StoreClient.h"
#include "log/Event.h"
#include "net/Endpoint.h"
#include "sidecar/LogOutput.h"
#include "sidecar/Sidecar.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <charconv>
#include <csignal>
#include <cstdlib>
#include <docopt/docopt.h>
#include <iostream>
#include <map>
#include <optional>

namespace coriandergate::sidecar {

namespace {

    const log::Event settingsRead { 1931, log::Severity::Info, "settings read",
        "if the settings have changed, restart the daemon to apply them" };
    const log::Event settingsRejected { 1932, log::Severity::Error, "settings refused",
        "the reason names the field; the settings from the daemon's start stay in force" };

    constexpr int exitStartFailed = 1;
    constexpr int exitInvalidSettings = 2;

    constexpr auto usage = R"(coriandergate-sidecar: the daemon that runs on each target host of the platform

Usage:
  coriandergate-sidecar [--settings=FILE] [--log-level=LEVEL] [--peer-address=ADDRESS]
                        [--hedging=SHARE] [--limit-warm-target]
  coriandergate-sidecar --check-settings [--settings=FILE]
  coriandergate-sidecar --event-catalogue
  coriandergate-sidecar (-h | --help)
  coriandergate-sidecar --version

Options:
  --settings=FILE     the settings file; by default the path in CORIANDERGATE_BOOT
  --log-level=LEVEL   minimum severity of log lines: 0 info, 1 warning, 2 error [default: 0]
  --peer-address=ADDRESS  IP address and port that other daemons connect to, if not the listening address
  --hedging=SHARE     second attempts of slow repeatable requests that the daemon may send to a service, as a share of
                      its requests there: 0 (none) to 0.2 [default: 0]
  --limit-warm-target  hold the bound of a cold target for a warm one too, as it may turn cold without a word
  --check-settings    check the settings, print the errors, and exit
  --event-catalogue   print all log events, and exit
)";

    auto settingsPath(const std::map<std::string, docopt::value>& arguments, const PlatformBindings& platform)
        -> std::string
    {
        const auto found = arguments.find("--settings");
        if (found != arguments.end() && found->second.isString())
            return found->second.asString();
        const char* path = std::getenv(platform.settingsVariable.c_str());
        return path ? path : "";
    }

    auto parseHedgingLimit(const std::string& text, Error& reason) -> std::optional<double>
    {
        double limit = 0;
        const auto end = text.data() + text.size();
        const auto parsed = std::from_chars(text.data(), end, limit);
        if (parsed.ec == std::errc {} && parsed.ptr == end && limit >= 0 && limit <= maximumHedgingLimit)
            return limit;
        reason = { "read arguments", "--hedging", "'" + text + "' must be a number from 0 to 0.2" };
        return std::nullopt;
    }

    // Period of the check for changes of the file without a signal, which aren't urgent.
    constexpr std::chrono::seconds settingsCheckPeriod { 5 };

    // Reads the settings file at each SIGHUP and periodically, and logs errors and changes.
    class SettingsMonitor {
    public:
        SettingsMonitor(boost::asio::io_context& io, const PlatformBindings& platform, std::string path,
            HostSettings activeSettings)
            : m_signals(io, SIGHUP)
            , m_timer(io)
            , m_platform(platform)
            , m_path(std::move(path))
            , m_activeSettings(std::move(activeSettings))
            , m_lastRead(m_activeSettings)
        {
            waitForSignal();
            waitForTimer();
        }

    private:
        auto waitForSignal() -> void
        {
            m_signals.async_wait([this](const boost::system::error_code& error, int) {
                if (error)
                    return;
                checkSettings(true);
                waitForSignal();
            });
        }

        auto waitForTimer() -> void
        {
            m_timer.expires_after(settingsCheckPeriod);
            m_timer.async_wait([this](const boost::system::error_code& error) {
                if (error)
                    return;
                checkSettings(false);
                waitForTimer();
            });
        }

        // Without a signal the result is logged only if it differs from the previous one.
        auto checkSettings(bool isSignalled) -> void
        {
            std::vector<Error> faults;
            auto settings = m_platform.readSettings(m_path, faults);
            if (settings)
                keepStartSettings(*settings);
            if (!isSignalled && settings == m_lastRead)
                return;
            for (const auto& fault : faults)
                log::logEvent(settingsRejected, { { "reason", fault.toText() } });
            if (settings)
                log::logEvent(settingsRead, { { "changed", *settings == m_activeSettings ? "no" : "yes" } });
            m_lastRead = settings;
        }

        // The address and the limits come from the command line, and later starts don't concern a running daemon.
        auto keepStartSettings(HostSettings& settings) const -> void
        {
            settings.peerAddress = m_activeSettings.peerAddress;
            settings.isFirstStart = m_activeSettings.isFirstStart;
            settings.hedgingLimit = m_activeSettings.hedgingLimit;
            settings.limitsWarmTarget = m_activeSettings.limitsWarmTarget;
        }

        boost::asio::signal_set m_signals;
        boost::asio::steady_timer m_timer;
        const PlatformBindings& m_platform;
        std::string m_path;
        HostSettings m_activeSettings;
        std::optional<HostSettings> m_lastRead; // nothing while the file is invalid
    };

    auto serve(const HostSettings& settings, const std::string& path, const PlatformBindings& platform,
        log::Severity minimumSeverity) -> int
    {
        std::signal(SIGPIPE, SIG_IGN);
        constexpr int oneThread = 1;
        boost::asio::io_context io(oneThread);
        LogOutput output(io);
        log::startLogging(minimumSeverity, [&output](const std::string& line) { output.add(line); });
        const auto store = platform.makeStore(io, settings.storeAddress);
        Sidecar daemon(io, settings, platform.adapter, *store);
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
        const SettingsMonitor monitor(io, platform, path, settings);
        io.run();
        output.flush();
        return 0;
    }

} // namespace

auto runSidecar(int argc, char** argv, const PlatformBindings& platform) -> int
{
    // By default the signal ends a process that doesn't handle it yet. SettingsMonitor handles it later; the settings
    // are read after this and then periodically, so no change is missed.
    std::signal(SIGHUP, SIG_IGN);
    const auto version = std::string("coriandergate-sidecar ") + CORIANDERGATE_VERSION;
    const auto arguments = docopt::docopt(usage, { argv + 1, argv + argc }, true, version);
    if (arguments.at("--event-catalogue").asBool()) {
        std::cout << log::catalogueText();
        return 0;
    }
    const auto path = settingsPath(arguments, platform);
    std::vector<Error> faults;
    auto settings = platform.readSettings(path, faults);
    if (settings && arguments.at("--peer-address").isString()) {
        Error reason;
        settings->peerAddress = arguments.at("--peer-address").asString();
        if (!net::parseEndpoint(settings->peerAddress, reason)) {
            faults.push_back(reason);
            settings.reset();
        }
    }
    if (settings) {
        settings->limitsWarmTarget = arguments.at("--limit-warm-target").asBool();
        Error reason;
        const auto limit = parseHedgingLimit(arguments.at("--hedging").asString(), reason);
        if (limit) {
            settings->hedgingLimit = *limit;
        } else {
            faults.push_back(reason);
            settings.reset();
        }
    }
    for (const auto& fault : faults)
        std::cerr << fault.toText() << '\n';
    const auto level = arguments.at("--log-level").asString();
    if (level != "0" && level != "1" && level != "2") {
        std::cerr << "read arguments (--log-level): the level must be 0, 1 or 2\n";
        return exitInvalidSettings;
    }
    if (!settings)
        return exitInvalidSettings;
    if (arguments.at("--check-settings").asBool()) {
        std::cout << "settings are good: " << path << '\n';
        return 0;
    }
    return serve(*settings, path, platform, static_cast<log::Severity>(level.front() - '0'));
}

} // namespace coriandergate::sidecar
