// Numbered log events, written through log4cxx.
//
// Each event has a permanent number and is listed in docs/EVENTS.md; a test checks that the list matches the code.
//
//   logEvent(events::targetAnnounced, { { "target", "127.0.0.1:9001" }, { "service", "ledger" } });
//   // 2026-12-04T10:00:00.000Z INFO CG1201 target announced target=127.0.0.1:9001 service=ledger
#pragma once

#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

namespace coriandergate::log {

enum class Severity {
    Info,
    Warning,
    Error,
};

// Event is a type of log line. Define each as a namespace-scope constant next to the code that logs it; its constructor
// adds it to the catalogue.
struct Event {
    Event(int eventNumber, Severity eventSeverity, std::string eventText, std::string eventAdvice);

    int number;
    Severity severity;
    std::string text; // short and constant; variable data goes into fields
    std::string advice; // what an operator should check
};

// Field is a name=value pair of a log line.
struct Field {
    std::string_view name;
    std::string value;
};

// startLogging() writes events of severity `minimum` and above to standard error. Call once, before the first event.
auto startLogging(Severity minimum) -> void;

// LineSink receives one complete line without a line break.
using LineSink = std::function<void(std::string line)>;

// This overload of startLogging() passes the lines to `sink` instead, as name=value pairs that begin with time, level
// and event. Call once, before the first event; `sink` is called on the thread that logs.
auto startLogging(Severity minimum, LineSink sink) -> void;

// logEvent() logs one event. Line breaks in values are escaped. Safe from any thread if the line sink is.
auto logEvent(const Event& event, std::initializer_list<Field> fields) -> void;

// eventCatalogue() returns all defined events, sorted by number.
[[nodiscard]] auto eventCatalogue() -> std::vector<Event>;

// catalogueText() returns the catalogue in the Markdown format of docs/EVENTS.md.
[[nodiscard]] auto catalogueText() -> std::string;

} // namespace coriandergate::log
