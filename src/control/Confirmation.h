// Confirms one plan: one transaction, under the condition that nothing has changed since the plan was made.
//
// The transaction writes the plan's row, the head row and the audit row together, each under its own condition, so that
// of two operators exactly one wins and confirming twice changes nothing. When the answer is lost, the plan's row is
// read back; if it is unchanged, writing it once more (a fence) makes sure that the lost transaction can never take
// effect, and only then is the confirmation tried anew or given up.
//
//   Confirmation::start(table, "plan-id", "operator", wallNow, [](ConfirmResult result) { ... });
#pragma once

#include "base/Clock.h"
#include "control/ConfirmResult.h"
#include "control/PlanRecord.h"
#include "store/TableService.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace coriandergate::control {

// Confirmation keeps itself alive until it calls back, which it does exactly once, on a thread of the table service.
class Confirmation : public std::enable_shared_from_this<Confirmation> {
public:
    using Callback = std::function<void(ConfirmResult)>;

    // start() begins the confirmation of `planId` by `operatorName`. `table` must outlive the call back.
    static auto start(
        store::TableService& table, std::string planId, std::string operatorName, WallTime at, Callback done) -> void;

private:
    Confirmation(store::TableService& table, std::string planId, std::string operatorName, WallTime at, Callback done);

    auto readPlan() -> void;
    auto takePlan(const store::ReadResult& result) -> void;
    auto commit() -> void;
    auto takeCommit(const store::CommitResult& result) -> void;
    auto fence() -> void;
    auto takeFence(const store::CommitResult& result) -> void;
    auto reportConflict() -> void;
    auto recordRefusal() -> void;
    auto auditRecord(std::string result) const -> AuditRecord;
    auto operationId() const -> std::string;

    store::TableService& m_table;
    const std::string m_planId;
    const std::string m_operatorName;
    const WallTime m_at;
    Callback m_done;
    PlanRecord m_plan;
    std::uint64_t m_planRowVersion = 0;
    std::uint64_t m_unresolvedRowVersion = 0; // of the plan's row when a commit's answer was lost; 0: none
    Error m_lastError;
    std::size_t m_steps = 0; // reads of the plan's row so far
};

} // namespace coriandergate::control
