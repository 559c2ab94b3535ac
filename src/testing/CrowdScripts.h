// What the connections of a crowd send, one script a load.
//
//   for (const auto& load : crowdLoads({ .target = "/orders", .bodyBytes = 4 << 20 }))
//       crowd.open(address, load.connections, load.script);
#pragma once

#include "testing/ConnectionCrowd.h"

#include <cstddef>
#include <string>
#include <vector>

namespace coriandergate::testing {

// CrowdLoad is a named load: how many connections a port gets, and what each sends.
struct CrowdLoad {
    std::string name;
    std::size_t connections = 0; // at each port
    ConnectionCrowd::Script script;
};

// CrowdTarget says where a crowd's requests go.
struct CrowdTarget {
    std::string target = "/"; // path
    std::string pipelinedTarget = "/"; // path of requests whose responses nobody reads
    std::string headers; // whole lines
    std::size_t bodyBytes = 0; // the largest body that the port accepts
};

// crowdLoads() are the loads that every port must bear.
[[nodiscard]] auto crowdLoads(const CrowdTarget& target) -> std::vector<CrowdLoad>;

// crowdLoad() is the one called `name`, which must exist.
[[nodiscard]] auto crowdLoad(const CrowdTarget& target, const std::string& name) -> CrowdLoad;

} // namespace coriandergate::testing
