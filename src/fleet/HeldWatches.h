// The watch requests of other daemons that a relay holds until it has something to respond.
//
//   HeldWatches held(scheduler, [](const HeldWatches::Watch& watch) { respond(watch); });
//   held.add({ request, confirmations, exchange });
//   for (const auto& watch : held.take([](const auto& candidate) { return candidate.request.table == "op"; }))
//       respond(watch);
#pragma once

#include "base/Scheduler.h"
#include "fleet/RelayWatchCodec.h"

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <vector>

namespace coriandergate::http {
class Exchange;
}

namespace coriandergate::fleet {

// HeldWatches is used on the thread of its scheduler. A watch whose daemon disconnects is dropped.
class HeldWatches {
public:
    struct Watch {
        RelayWatchRequest request;
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

    // add() holds a watch for at most as long as its request waits.
    auto add(Watch watch) -> void;

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
