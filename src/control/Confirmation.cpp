#include "control/Confirmation.h"

#include "config/EntryCodec.h"
#include "control/RecordCodec.h"
#include "control/StoreLayout.h"

#include <utility>

namespace coriandergate::control {

namespace {

    constexpr std::size_t mostSteps = 5; // reads of the plan's row before giving up
    constexpr std::size_t mostConflictRecords = 100;

    using store::Committed;
    using store::ConditionFailed;
    using store::OutcomeUnknown;
    using store::Unavailable;

} // namespace

auto Confirmation::start(
    store::TableService& table, std::string planId, std::string operatorName, WallTime at, Callback done) -> void
{
    const std::shared_ptr<Confirmation> confirmation(
        new Confirmation(table, std::move(planId), std::move(operatorName), at, std::move(done)));
    confirmation->readPlan();
}

Confirmation::Confirmation(
    store::TableService& table, std::string planId, std::string operatorName, WallTime at, Callback done)
    : m_table(table)
    , m_planId(std::move(planId))
    , m_operatorName(std::move(operatorName))
    , m_at(at)
    , m_done(std::move(done))
{
}

auto Confirmation::readPlan() -> void
{
    if (++m_steps > mostSteps) {
        if (m_unresolvedRowVersion != 0)
            return m_done(ConfirmUnknown { m_lastError });
        return m_done(NotAccepted { m_lastError });
    }
    m_table.read(layout::planKey(m_planId),
        [self = shared_from_this()](const store::ReadResult& result) { self->takePlan(result); });
}

auto Confirmation::takePlan(const store::ReadResult& result) -> void
{
    if (const auto* unavailable = std::get_if<Unavailable>(&result)) {
        m_lastError = unavailable->error;
        if (m_unresolvedRowVersion != 0)
            return readPlan();
        return m_done(NotAccepted { m_lastError });
    }
    const auto& row = std::get<std::optional<store::Row>>(result);
    if (!row)
        return m_done(NoSuchPlan {});
    auto plan = decodeRecord<PlanRecord>(row->value, m_lastError);
    if (!plan)
        return m_done(NotAccepted { m_lastError });
    m_plan = *std::move(plan);
    m_planRowVersion = row->version;
    if (!m_plan.confirmedBy.empty())
        return m_done(Accepted { m_plan.target, row->operationId != operationId() });
    if (m_unresolvedRowVersion == m_planRowVersion)
        return fence();
    // The row has moved on, so that a commit under its former version can't take effect any more.
    m_unresolvedRowVersion = 0;
    commit();
}

auto Confirmation::commit() -> void
{
    auto confirmed = m_plan;
    confirmed.confirmedBy = m_operatorName;
    store::Transaction transaction { operationId(),
        { { layout::planKey(m_planId), m_planRowVersion, encodeRecord(confirmed) },
            { std::string(layout::headKey), m_plan.baseRowVersion, encodeRecord(m_plan.target) },
            { layout::auditKey(m_plan.target.version), 0, encodeRecord(auditRecord("accepted")) } } };
    m_table.commit(std::move(transaction),
        [self = shared_from_this()](const store::CommitResult& result) { self->takeCommit(result); });
}

auto Confirmation::takeCommit(const store::CommitResult& result) -> void
{
    if (std::holds_alternative<Committed>(result))
        return m_done(Accepted { m_plan.target, false });
    if (const auto* failed = std::get_if<ConditionFailed>(&result)) {
        m_lastError = { "confirm plan", m_planId, "another operator is confirming it" };
        if (failed->current.key == layout::planKey(m_planId))
            return readPlan();
        return reportConflict();
    }
    if (const auto* unavailable = std::get_if<Unavailable>(&result))
        return m_done(NotAccepted { unavailable->error });
    m_lastError = std::get<OutcomeUnknown>(result).error;
    m_unresolvedRowVersion = m_planRowVersion;
    readPlan();
}

auto Confirmation::fence() -> void
{
    auto fenced = m_plan;
    ++fenced.attempt;
    store::Transaction transaction { operationId() + "-fence",
        { { layout::planKey(m_planId), m_planRowVersion, encodeRecord(fenced) } } };
    m_table.commit(std::move(transaction),
        [self = shared_from_this()](const store::CommitResult& result) { self->takeFence(result); });
}

auto Confirmation::takeFence(const store::CommitResult& result) -> void
{
    // Whatever came of it, the row tells.
    if (const auto* unavailable = std::get_if<Unavailable>(&result))
        m_lastError = unavailable->error;
    readPlan();
}

auto Confirmation::reportConflict() -> void
{
    recordRefusal();
    m_table.list(layout::auditPrefix, layout::refusalKey(m_plan.base.version, "~"), mostConflictRecords,
        [self = shared_from_this()](const store::ListResult& result) {
            Conflict conflict;
            if (const auto* rows = std::get_if<std::vector<store::Row>>(&result)) {
                for (const auto& row : *rows) {
                    const auto record = decodeRecord<AuditRecord>(row.value, self->m_lastError);
                    if (record && record->result == "accepted")
                        conflict.changes.push_back(*record);
                }
            }
            self->m_done(std::move(conflict));
        });
}

auto Confirmation::recordRefusal() -> void
{
    // A record of what did not happen; the answer to the operator does not wait for it.
    const auto record = auditRecord("refused: another change came first");
    m_table.commit({ operationId() + "-refused",
                       { { layout::refusalKey(m_plan.target.version, m_planId), 0, encodeRecord(record) } } },
        [](const store::CommitResult&) {});
}

auto Confirmation::auditRecord(std::string result) const -> AuditRecord
{
    return { m_operatorName, m_at, m_plan.base.version, m_plan.target.version, m_plan.target.digest, m_planId,
        m_plan.purpose, std::move(result) };
}

auto Confirmation::operationId() const -> std::string
{
    return "confirm-" + m_planId + "-" + m_operatorName + "-" + std::to_string(m_at.time_since_epoch().count());
}

} // namespace coriandergate::control
