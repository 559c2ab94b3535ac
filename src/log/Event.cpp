#include "log/Event.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

namespace coriandergate::log {

namespace {

    auto catalogue() -> std::vector<Event>&
    {
        static std::vector<Event> s_events;
        return s_events;
    }

    auto logger() -> const log4cxx::LoggerPtr&
    {
        static const auto s_logger = log4cxx::Logger::getLogger("coriandergate");
        return s_logger;
    }

    // SinkConfiguration is set once, by startLogging(), before the first event.
    struct SinkConfiguration {
        Severity minimum = Severity::Info;
        LineSink sink;
    };

    auto sinkConfiguration() -> SinkConfiguration&
    {
        static SinkConfiguration s_configuration;
        return s_configuration;
    }

    auto levelOf(Severity severity) -> log4cxx::LevelPtr
    {
        switch (severity) {
        case Severity::Info:
            return log4cxx::Level::getInfo();
        case Severity::Warning:
            return log4cxx::Level::getWarn();
        case Severity::Error:
            return log4cxx::Level::getError();
        }
        return log4cxx::Level::getError();
    }

    auto nameOf(Severity severity) -> std::string
    {
        switch (severity) {
        case Severity::Info:
            return "info";
        case Severity::Warning:
            return "warning";
        case Severity::Error:
            return "error";
        }
        return "error";
    }

    auto appendValue(std::string& line, const std::string& value) -> void
    {
        const bool needsQuoting = value.empty() || value.find_first_of(" \"\t\r\n") != std::string::npos;
        if (!needsQuoting) {
            line += value;
            return;
        }
        line += '"';
        for (const char c : value) {
            if (c == '"' || c == '\\')
                line += '\\';
            if (c == '\n' || c == '\r')
                line += "\\n";
            else
                line += c;
        }
        line += '"';
    }

} // namespace

Event::Event(int eventNumber, Severity eventSeverity, std::string eventText, std::string eventAdvice)
    : number(eventNumber)
    , severity(eventSeverity)
    , text(std::move(eventText))
    , advice(std::move(eventAdvice))
{
    catalogue().push_back(*this);
}

auto startLogging(Severity minimum) -> void
{
    const auto layout
        = std::make_shared<log4cxx::PatternLayout>(LOG4CXX_STR("%d{yyyy-MM-dd}{UTC}T%d{HH:mm:ss.SSS}{UTC}Z %p %m%n"));
    const auto appender = std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemErr());
    log4cxx::BasicConfigurator::configure(appender);
    logger()->setLevel(levelOf(minimum));
}

auto startLogging(Severity minimum, LineSink sink) -> void { sinkConfiguration() = { minimum, std::move(sink) }; }

namespace {

    auto appendFields(std::string& line, std::initializer_list<Field> fields) -> void
    {
        for (const auto& field : fields) {
            line += ' ';
            line += field.name;
            line += '=';
            appendValue(line, field.value);
        }
    }

    auto currentTimestamp() -> std::string
    {
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
        std::array<char, 32> text {};
        std::snprintf(text.data(), text.size(), "%lld.%03lld", static_cast<long long>(milliseconds / 1000),
            static_cast<long long>(milliseconds % 1000));
        return text.data();
    }

    auto logToSink(const SinkConfiguration& configuration, const Event& event, std::initializer_list<Field> fields)
        -> void
    {
        if (event.severity < configuration.minimum)
            return;
        std::string line = "time=" + currentTimestamp() + " level=" + nameOf(event.severity) + " event=CG"
            + std::to_string(event.number) + " text=";
        appendValue(line, event.text);
        appendFields(line, fields);
        configuration.sink(std::move(line));
    }

} // namespace

auto logEvent(const Event& event, std::initializer_list<Field> fields) -> void
{
    if (sinkConfiguration().sink) {
        logToSink(sinkConfiguration(), event, fields);
        return;
    }
    const auto level = levelOf(event.severity);
    if (!logger()->isEnabledFor(level))
        return;
    std::string line = "CG" + std::to_string(event.number) + " " + event.text;
    appendFields(line, fields);
    logger()->forcedLog(level, line);
}

auto eventCatalogue() -> std::vector<Event>
{
    auto events = catalogue();
    std::sort(
        events.begin(), events.end(), [](const Event& left, const Event& right) { return left.number < right.number; });
    return events;
}

auto catalogueText() -> std::string
{
    std::string text = "# Log events\n\n| event | severity | text | what to look at |\n| --- | --- | --- | --- |\n";
    for (const auto& event : eventCatalogue())
        text += "| CG" + std::to_string(event.number) + " | " + nameOf(event.severity) + " | " + event.text + " | "
            + event.advice + " |\n";
    return text;
}

} // namespace coriandergate::log
