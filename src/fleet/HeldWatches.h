// The watch requests of other daemons that a relay holds until it has something to respond.
//
//   HeldWatches held(scheduler, [](const HeldWatches::Watch& watch) { respond(watch); });
//   held.add({ .table = "op", .after = 17, .exchange = exchange }, 1200ms);
//   for (const auto& watch : held.take([](const auto& candidate) { return candidate.table == "op"; }))
//       respond(watch);
#pragma once

#include "base/Scheduler.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

namespace coriandergate::http {
class Exchange;
}

namespace coriandergate::fleet {

// HeldWatches is used on the thread of its scheduler. A watch whose daemon disconnects is dropped.
class HeldWatches {
public:
    struct Watch {
        std::string table;
        std::uint64_t after = 0;
        bool isSnapshot = false;
        bool acceptsAnyAge = false;
        bool canOutliveOutage = false;
        std::uint64_t confirmations = 0; // of the table when the request arrived
        std::shared_ptr<http::Exchange> exchange;
    };
    using Callback = std::function<void(const Watch&)>;

    // `onTimeout` is called with a watch for which there was no response in time; it is no longer held then.
    HeldWatches(Scheduler& scheduler, Callback onTimeout)
        : m_scheduler(scheduler)
        , m_onTimeout(std::move(onTimeout))
    {
    }
    ~HeldWatches() { *m_isAlive = false; }
    HeldWatches(const HeldWatches&) = delete;
    auto operator=(const HeldWatches&) -> HeldWatches& = delete;

    // add() holds a watch for at most `wait`.
    auto add(Watch watch, std::chrono::milliseconds wait) -> void;

    // take() returns the watches for which `isSelected` is true; they are no longer held.
    [[nodiscard]] auto take(const std::function<bool(const Watch&)>& isSelected) -> std::vector<Watch>;

private:
    struct Held {
        Watch watch;
        Scheduler::Timer timer = 0;
    };

    // takeOne() takes the watch of an exchange, if it is held.
    [[nodiscard]] auto takeOne(const http::Exchange* exchange) -> std::vector<Watch>;

    Scheduler& m_scheduler;
    Callback m_onTimeout;
    std::list<Held> m_held;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace coriandergate::fleet
