// Drawn outages of the store in a FleetSimulation, and times drawn for them.
//
//   beginOutage(fleet, random);
//   fleet.runFor(drawDuration(random, 500ms, 6000ms));
//   endOutage(fleet);
#pragma once

#include "testing/FleetSimulation.h"

#include <chrono>
#include <cstddef>
#include <random>

namespace coriandergate::testing {

// drawDuration() draws whole milliseconds, both ends included.
inline auto drawDuration(std::mt19937_64& random, std::chrono::milliseconds shortest, std::chrono::milliseconds longest)
    -> std::chrono::milliseconds
{
    using Count = std::chrono::milliseconds::rep;
    return std::chrono::milliseconds(std::uniform_int_distribution<Count>(shortest.count(), longest.count())(random));
}

// beginOutage() draws how the store fails: with errors, for all hosts or for most; or with silence.
inline auto beginOutage(FleetSimulation& fleet, std::mt19937_64& random) -> void
{
    switch (random() % 3) {
    case 0:
        fleet.setStoreServes([](std::size_t) { return false; });
        return;
    case 1:
        fleet.setStoreServes([rest = random() % 4](std::size_t host) { return host % 4 == rest; });
        return;
    default:
        fleet.setStoreIsSilent(true);
    }
}

inline auto endOutage(FleetSimulation& fleet) -> void
{
    fleet.setStoreServes([](std::size_t) { return true; });
    fleet.setStoreIsSilent(false);
}

} // namespace coriandergate::testing
