// One host of a FleetSimulation, for its sources only.
#pragma once

#include "testing/FleetSimulation.h"

#include "base/Locality.h"
#include "fleet/HostRecord.h"
#include "fleet/RelayTransport.h"
#include "fleet/StoreClient.h"
#include "fleet/StoreView.h"
#include "testing/SimulatedNetwork.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace coriandergate::testing {

struct FleetSimulation::Host {
    Locality locality;
    std::string address; // for other hosts
    std::string key;
    std::string row; // value of its row in the store
    SimulatedNetwork::Link uplink = 0;
    SimulatedNetwork::Link downlink = 0;
    std::unique_ptr<fleet::StoreClient> store;
    std::unique_ptr<fleet::RelayTransport> transport;
    Impairment impairment;
    bool isStarting = false;
    bool isDark = false; // without power
    std::unique_ptr<fleet::StoreView> view; // while the daemon runs
    std::optional<fleet::HostRecord::State> stateAtStart;
    std::uint64_t configurationVersion = 0; // row version that the daemon knows
};

} // namespace coriandergate::testing
