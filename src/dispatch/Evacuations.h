// Which data centres operators have taken out of service, and how requests return to those that are taken back.
//
// Nothing is sent to the targets of an evacuated data centre. After its return they are idle and perhaps not warmed up
// yet, and look like the best choice to every entry at once; so at first only a small fraction of the requests may
// prefer them, and it grows linearly.
//
// A store that came back from an older copy may lack an evacuation that nobody took back. It stays in force for a
// while, so that the operator can write it again; afterwards the store's word counts.
//
// Load pattern: a data centre that is emptied and taken back under full load, also twice in quick succession, two at
// once, and the last one.
//
//   evacuations.begin("west-a", now);
//   if (evacuations.isEvacuated(target.locality.dataCentre)) ...
//   evacuations.end("west-a", now);
//   if (share < evacuations.returnShare("west-a", now)) ... // this request may prefer its targets
#pragma once

#include "base/Clock.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace coriandergate::dispatch {

// Evacuations is a value; not thread-safe.
class Evacuations {
public:
    struct Options {
        // Until a data centre gets its whole share again. The targets of the customers' services are cold for 3 s once
        // they get traffic, and their reports of load need about a second to reach all entries.
        std::chrono::milliseconds returnTime { 4000 };
        // How long an evacuation outlives a restored store that lacks it: twice the time in which a new one is in force
        // everywhere, so that the operator has as long to write it again. A data centre that was taken back meanwhile
        // returns so much later.
        std::chrono::milliseconds confirmationTime { 10000 };
    };

    Evacuations() = default;
    explicit Evacuations(const Options& options)
        : m_options(options)
    {
    }

    // begin() takes a data centre out of service; false if it is already. end() takes it back; false if it isn't
    // evacuated.
    auto begin(const std::string& dataCentre, MonotonicTime now) -> bool;
    auto end(const std::string& dataCentre, MonotonicTime now) -> bool;

    // requireConfirmation() is called when the store came back from an older copy. For the confirmation time from then
    // on an evacuation that is in force outlives endMissing(), until begin() confirms it.
    auto requireConfirmation(MonotonicTime now) -> void;

    // endMissing() takes a data centre back of whose evacuation the store has no row; false if it stays in force.
    auto endMissing(const std::string& dataCentre, MonotonicTime now) -> bool;

    // unconfirmed() lists the evacuations that the store lacks and whose confirmation time is over, sorted.
    [[nodiscard]] auto unconfirmed(MonotonicTime now) const -> std::vector<std::string>;

    [[nodiscard]] auto isEvacuated(std::string_view dataCentre) const -> bool;

    // evacuated() lists the evacuated data centres, sorted.
    [[nodiscard]] auto evacuated() const -> std::vector<std::string>;

    // age() is the time since `dataCentre` was evacuated; nothing if it isn't.
    [[nodiscard]] auto age(std::string_view dataCentre, MonotonicTime now) const
        -> std::optional<std::chrono::milliseconds>;

    // oldestAge() is the age of the oldest evacuation in force; nothing if there is none.
    [[nodiscard]] auto oldestAge(MonotonicTime now) const -> std::optional<std::chrono::milliseconds>;

    // returnedAt() is when a data centre was last taken back; nothing if it never was or is evacuated.
    [[nodiscard]] auto returnedAt(std::string_view dataCentre) const -> std::optional<MonotonicTime>;

    // returnShare() is the fraction of the requests that may prefer the targets of a data centre, 0 to 1.
    [[nodiscard]] auto returnShare(std::string_view dataCentre, MonotonicTime now) const -> double;

    // concernChoice() returns whether any data centre is evacuated or returning.
    [[nodiscard]] auto concernChoice(MonotonicTime now) const -> bool;

private:
    // Doubt is what is known of an evacuation that a restored store may lack.
    struct Doubt {
        MonotonicTime until; // then it ends if it is missing
        bool isMissing = false;
    };

    Options m_options;
    std::map<std::string, MonotonicTime, std::less<>> m_evacuatedSince; // by data centre
    std::map<std::string, MonotonicTime, std::less<>> m_returnedAt; // by data centre
    std::map<std::string, Doubt, std::less<>> m_doubts; // by data centre
};

} // namespace coriandergate::dispatch
