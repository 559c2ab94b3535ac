// Converts between the project's JSON values and those of libjsonrpccpp; the one place where both kinds meet.
#pragma once

#include <json/value.h>
#include <nlohmann/json.hpp>

namespace coriandergate::rpc::internal {

// toJsonCpp() is `value` as jsoncpp has it. Safe from any thread.
[[nodiscard]] auto toJsonCpp(const nlohmann::json& value) -> Json::Value;

// fromJsonCpp() is the reverse.
[[nodiscard]] auto fromJsonCpp(const Json::Value& value) -> nlohmann::json;

} // namespace coriandergate::rpc::internal
