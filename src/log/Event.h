// Numbered log events, written through log4cxx.
//
// Each event has a number that never changes its meaning and stands in docs/EVENTS.md; a test holds both together.
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

// Event is one kind of log line. Define each as a namespace-scope constant beside the code that logs it; it enters the
// catalogue by itself.
struct Event {
    Event(int eventNumber, Severity eventSeverity, std::string eventText, std::string eventAdvice);

    int number;
    Severity severity;
    std::string text; // a few words, always the same
    std::string advice; // what an operator should look at
};

// Field is one name and value of a log line.
struct Field {
    std::string_view name;
    std::string value;
};

// startLogging() sends log lines of `minimum` and above to standard error. Call once, before the first event.
auto startLogging(Severity minimum) -> void;

// LineSink takes one whole line without its line break.
using LineSink = std::function<void(std::string line)>;

// startLogging() of this form hands lines of `minimum` and above to `sink` instead, as name=value pairs that begin with
// time, level and event. Call once, before the first event; the sink is called on the thread that logs.
auto startLogging(Severity minimum, LineSink sink) -> void;

// logEvent() writes one line. Line breaks in values are escaped. Safe from any thread.
auto logEvent(const Event& event, std::initializer_list<Field> fields) -> void;

// eventCatalogue() is every defined event, sorted by number.
[[nodiscard]] auto eventCatalogue() -> std::vector<Event>;

// catalogueText() is the catalogue as docs/EVENTS.md has it.
[[nodiscard]] auto catalogueText() -> std::string;

} // namespace coriandergate::log
