// JSON values of heads and of the entries of a configuration, one mapping for text and binary forms alike.
//
//   const nlohmann::json value(route);
//   const auto copy = value.get<Route>();
#pragma once

#include <nlohmann/json_fwd.hpp>

namespace coriandergate::config {

struct ClientAccount;
struct ConfigurationHead;
struct Route;
struct Service;

// to_json() and from_json() are found by nlohmann::json through the entries' namespace, which sets their names. Fields
// at their defaults are left out; from_json() throws nlohmann::json::exception on a wrong shape.
// NOLINTBEGIN(readability-identifier-naming)
auto to_json(nlohmann::json& value, const Route& route) -> void;
auto to_json(nlohmann::json& value, const ClientAccount& account) -> void;
auto to_json(nlohmann::json& value, const Service& service) -> void;
auto to_json(nlohmann::json& value, const ConfigurationHead& head) -> void;
auto from_json(const nlohmann::json& value, ConfigurationHead& head) -> void;
auto from_json(const nlohmann::json& value, Route& route) -> void;
auto from_json(const nlohmann::json& value, ClientAccount& account) -> void;
auto from_json(const nlohmann::json& value, Service& service) -> void;
// NOLINTEND(readability-identifier-naming)

} // namespace coriandergate::config
