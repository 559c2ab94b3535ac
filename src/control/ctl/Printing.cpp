#include "control/ctl/Printing.h"

#include "base/Error.h"
#include "config/DeclarationFault.h"
#include "control/RecordCodec.h"

#include <nlohmann/json.hpp>

#include <ostream>

namespace coriandergate::control::ctl {

namespace {

    using nlohmann::json;

    auto joined(const json& texts) -> std::string
    {
        std::string list;
        for (const auto& text : texts)
            list += (list.empty() ? "" : ", ") + text.get<std::string>();
        return list;
    }

    auto printChange(const json& change, std::ostream& out) -> void
    {
        out << "  " << change.value("change", "") << " " << change.value("section", "") << "/"
            << change.value("name", "") << "\n";
        for (const auto& field : change.value("fields", json::array()))
            out << "      " << field.get<std::string>() << "\n";
    }

} // namespace

auto printBody(const json&, const std::string& body, std::ostream& out) -> void { out << body; }

auto printPlan(const json& value, const std::string&, std::ostream& out) -> void
{
    const auto plan = value.value("plan", json::object());
    out << "from version " << plan["base"].value("version", 0) << " to version " << plan["target"].value("version", 0)
        << "\n";
    for (const auto& change : plan.value("changes", json::array()))
        printChange(change, out);
    out << "client accounts affected: " << joined(plan.value("clientAccounts", json::array())) << "\n";
    out << "services affected: " << joined(plan.value("services", json::array())) << "\n";
    for (const auto& warning : plan.value("warnings", json::array()))
        out << "WARNING " << warning.value("kind", "") << " " << warning.value("entry", "") << ": "
            << warning.value("text", "") << "\n";
    if (value.contains("key"))
        out << "key (shown only now): " << value.value("key", "") << "\ndigest: " << value.value("keyDigest", "")
            << "\n";
    if (value.contains("id"))
        out << "plan " << value.value("id", "") << "; nothing has changed until it is confirmed\n";
}

auto printAccepted(const json& value, const std::string&, std::ostream& out) -> void
{
    out << "accepted: version " << value["head"].value("version", 0)
        << (value.value("wasAlready", false) ? " (it was already; nothing changed)" : "") << "\n";
}

auto printStatus(const json& value, const std::string&, std::ostream& out) -> void
{
    out << "version " << value["head"].value("version", 0) << " is in force at " << value.value("inForce", 0) << " of "
        << value.value("daemons", 0) << " daemons; this one (" << value.value("daemon", "") << ") is "
        << value.value("freshness", "") << "\n";
    for (const auto& daemon : value.value("behind", json::array()))
        out << "behind: " << daemon.value("address", "") << " has version " << daemon.value("version", 0) << "\n";
    for (const auto& daemon : value.value("unreachable", json::array()))
        out << "unreachable: " << daemon.get<std::string>() << "\n";
    if (value.value("isStoreBehind", false))
        out << "WARNING the store names an older version than the one in force\n";
}

auto printRecords(const json& value, const std::string&, std::ostream& out) -> void
{
    for (const auto& record : value.value("records", json::array()))
        out << record.value("at", "") << " " << record.value("operator", "") << " " << record.value("fromVersion", 0)
            << " -> " << record.value("toVersion", 0) << " plan " << record.value("plan", "") << " "
            << record.value("result", "") << " " << record.value("purpose", "") << "\n";
}

auto printFaults(const json& value, const std::string& file, std::ostream& out) -> void
{
    for (const auto& fault : value.value("faults", json::array()))
        out << fault.get<config::DeclarationFault>().toText(file) << "\n";
    if (value.value("faults", json::array()).empty())
        out << file << ": valid\n";
}

auto printRefusal(const json& value, const std::string& body, const std::string& file, std::ostream& out) -> void
{
    if (!value.is_object()) {
        out << body << "\n";
        return;
    }
    if (value.contains("faults"))
        return printFaults(value, file, out);
    if (value.contains("changes")) {
        out << "not accepted: another change came first\n";
        return printRecords({ { "records", value["changes"] } }, body, out);
    }
    const auto error = value.value("error", json::object());
    const Error reason { error.value("step", ""), error.value("peer", ""), error.value("reason", "") };
    const auto result = value.value("result", "");
    if (result == "notAccepted")
        out << "not accepted, nothing was changed: " << reason.toText() << "\n";
    else if (result == "unknown")
        out << "outcome unknown, confirm again to learn it: " << reason.toText() << "\n";
    else if (value.contains("error"))
        out << reason.toText() << "\n";
    else
        out << body;
}

} // namespace coriandergate::control::ctl
