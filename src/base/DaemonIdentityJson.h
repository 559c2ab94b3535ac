// The JSON form of a DaemonIdentity, for nlohmann-json: ["10.0.0.7:7101", 8123345123].
//
//   const nlohmann::json json = identity;
//   const auto copy = json.get<DaemonIdentity>();
#pragma once

#include "base/DaemonIdentity.h"

#include <nlohmann/json.hpp>

namespace coriandergate {

// to_json() writes `identity`. The name is the library's.
inline auto to_json(nlohmann::json& json, const DaemonIdentity& identity) -> void // NOLINT
{
    json = nlohmann::json::array({ identity.address, identity.incarnation });
}

// from_json() reads `identity` and throws the library's exception on any other form. The name is the library's.
inline auto from_json(const nlohmann::json& json, DaemonIdentity& identity) -> void // NOLINT
{
    json.at(0).get_to(identity.address);
    json.at(1).get_to(identity.incarnation);
}

} // namespace coriandergate
