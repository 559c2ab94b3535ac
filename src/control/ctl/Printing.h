// Turns answers of the operators' API into text for people.
#pragma once

#include <functional>
#include <iosfwd>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace coriandergate::control::ctl {

// A Printer writes one answer: its JSON value, or its body when it is none.
using Printer = std::function<void(const nlohmann::json& value, const std::string& body, std::ostream& out)>;

// printBody() writes the body as it is.
auto printBody(const nlohmann::json& value, const std::string& body, std::ostream& out) -> void;

// printPlan() writes what changes, for whom, and the warnings.
auto printPlan(const nlohmann::json& value, const std::string& body, std::ostream& out) -> void;

// printAccepted() writes the version that a confirmation led to.
auto printAccepted(const nlohmann::json& value, const std::string& body, std::ostream& out) -> void;

// printStatus() writes how far the newest version is in force.
auto printStatus(const nlohmann::json& value, const std::string& body, std::ostream& out) -> void;

// printRecords() writes records of the audit trail, one a line.
auto printRecords(const nlohmann::json& value, const std::string& body, std::ostream& out) -> void;

// printFaults() writes the faults of a declaration, one a line, as file:line:column.
auto printFaults(const nlohmann::json& value, const std::string& file, std::ostream& out) -> void;

// printRefusal() writes why a command was not carried out.
auto printRefusal(const nlohmann::json& value, const std::string& body, const std::string& file, std::ostream& out)
    -> void;

} // namespace coriandergate::control::ctl
