// Links of limited rate for simulations. Transfers over one link share its rate equally, as concurrent connections do.
//
//   SimulatedNetwork network(scheduler);
//   const auto link = network.addLink(11'250'000);
//   network.start({ link }, 200'000, [] { ... });
#pragma once

#include "base/Scheduler.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace coriandergate::testing {

// SimulatedNetwork is used on the thread of its scheduler.
class SimulatedNetwork {
public:
    using Link = std::size_t;
    using Transfer = std::uint64_t;

    explicit SimulatedNetwork(Scheduler& scheduler);

    auto addLink(double bytesPerSecond) -> Link;

    // start() sends `bytes` over all links of `path` at once and calls `done` when the last byte has passed.
    auto start(std::vector<Link> path, std::size_t bytes, std::function<void()> done) -> Transfer;

    // cancel() drops the rest of a transfer, as a closed connection does. Unknown transfers are ignored.
    auto cancel(Transfer transfer) -> void;

    // carriedBytes() counts the bytes that have passed the link, including those of cancelled transfers.
    [[nodiscard]] auto carriedBytes(Link link) const -> std::uint64_t;

private:
    struct LinkState {
        double bytesPerSecond = 0;
        std::size_t activeTransfers = 0;
        double carriedBytes = 0;
    };
    struct ActiveTransfer {
        std::vector<Link> path;
        double remainingBytes = 0;
        std::function<void()> done;
    };

    auto scheduleStep() -> void;
    auto step() -> void;
    auto erase(std::map<Transfer, ActiveTransfer>::iterator transfer) -> std::map<Transfer, ActiveTransfer>::iterator;

    Scheduler& m_scheduler;
    std::vector<LinkState> m_links;
    std::map<Transfer, ActiveTransfer> m_transfers;
    Transfer m_nextTransfer = 1;
    bool m_isStepScheduled = false;
};

} // namespace coriandergate::testing
