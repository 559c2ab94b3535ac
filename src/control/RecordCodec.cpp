#include "control/RecordCodec.h"

#include "config/DeclarationFault.h"
#include "config/EntryCodec.h"
#include "control/AuditRecord.h"
#include "control/Plan.h"
#include "control/PlanRecord.h"

#include <QDateTime>
#include <QString>

// NOLINTBEGIN(readability-identifier-naming): nlohmann::json sets these names.

namespace coriandergate::config {

auto to_json(nlohmann::json& value, const DeclarationFault& fault) -> void
{
    value = { { "line", fault.line }, { "column", fault.column }, { "field", fault.field },
        { "problem", fault.problem }, { "allowed", fault.allowed } };
}

auto from_json(const nlohmann::json& value, DeclarationFault& fault) -> void
{
    value.at("line").get_to(fault.line);
    value.at("column").get_to(fault.column);
    value.at("field").get_to(fault.field);
    value.at("problem").get_to(fault.problem);
    value.at("allowed").get_to(fault.allowed);
}

} // namespace coriandergate::config

namespace coriandergate::control {

auto to_json(nlohmann::json& value, const AuditRecord& record) -> void
{
    value = { { "operator", record.operatorName }, { "at", printWallTime(record.at) },
        { "fromVersion", record.fromVersion }, { "toVersion", record.toVersion }, { "digest", record.digest },
        { "plan", record.planId }, { "purpose", record.purpose }, { "result", record.result } };
}

auto from_json(const nlohmann::json& value, AuditRecord& record) -> void
{
    value.at("operator").get_to(record.operatorName);
    record.at = parseWallTime(value.at("at").get<std::string>());
    value.at("fromVersion").get_to(record.fromVersion);
    value.at("toVersion").get_to(record.toVersion);
    value.at("digest").get_to(record.digest);
    value.at("plan").get_to(record.planId);
    value.at("purpose").get_to(record.purpose);
    value.at("result").get_to(record.result);
}

auto to_json(nlohmann::json& value, const EntryChange& change) -> void
{
    value = { { "section", change.section }, { "name", change.name }, { "change", change.change },
        { "fields", change.fields } };
}

auto from_json(const nlohmann::json& value, EntryChange& change) -> void
{
    value.at("section").get_to(change.section);
    value.at("name").get_to(change.name);
    value.at("change").get_to(change.change);
    value.at("fields").get_to(change.fields);
}

auto to_json(nlohmann::json& value, const PlanWarning& warning) -> void
{
    value = { { "kind", warning.kind }, { "entry", warning.entry }, { "text", warning.text } };
}

auto from_json(const nlohmann::json& value, PlanWarning& warning) -> void
{
    value.at("kind").get_to(warning.kind);
    value.at("entry").get_to(warning.entry);
    value.at("text").get_to(warning.text);
}

auto to_json(nlohmann::json& value, const Plan& plan) -> void
{
    value = { { "base", plan.base }, { "target", plan.target }, { "changes", plan.changes },
        { "clientAccounts", plan.clientAccounts }, { "services", plan.services }, { "warnings", plan.warnings } };
}

auto from_json(const nlohmann::json& value, Plan& plan) -> void
{
    value.at("base").get_to(plan.base);
    value.at("target").get_to(plan.target);
    value.at("changes").get_to(plan.changes);
    value.at("clientAccounts").get_to(plan.clientAccounts);
    value.at("services").get_to(plan.services);
    value.at("warnings").get_to(plan.warnings);
}

auto to_json(nlohmann::json& value, const PlanRecord& record) -> void
{
    value = { { "id", record.id }, { "author", record.author }, { "purpose", record.purpose },
        { "createdAt", printWallTime(record.createdAt) }, { "base", record.base },
        { "baseRowVersion", record.baseRowVersion }, { "target", record.target }, { "attempt", record.attempt },
        { "confirmedBy", record.confirmedBy } };
}

auto from_json(const nlohmann::json& value, PlanRecord& record) -> void
{
    value.at("id").get_to(record.id);
    value.at("author").get_to(record.author);
    value.at("purpose").get_to(record.purpose);
    record.createdAt = parseWallTime(value.at("createdAt").get<std::string>());
    value.at("base").get_to(record.base);
    value.at("baseRowVersion").get_to(record.baseRowVersion);
    value.at("target").get_to(record.target);
    value.at("attempt").get_to(record.attempt);
    value.at("confirmedBy").get_to(record.confirmedBy);
}

// NOLINTEND(readability-identifier-naming)

auto printWallTime(WallTime at) -> std::string
{
    const auto sinceEpoch = std::chrono::duration_cast<std::chrono::milliseconds>(at.time_since_epoch());
    return QDateTime::fromMSecsSinceEpoch(sinceEpoch.count(), Qt::UTC).toString(Qt::ISODateWithMs).toStdString();
}

auto parseWallTime(const std::string& text) -> WallTime
{
    const auto parsed = QDateTime::fromString(QString::fromStdString(text), Qt::ISODateWithMs);
    return WallTime(std::chrono::milliseconds(parsed.isValid() ? parsed.toMSecsSinceEpoch() : 0));
}

} // namespace coriandergate::control
