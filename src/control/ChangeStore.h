// The configuration's versions, plans and audit trail in the platform's stores.
//
//   ChangeStore changes(table, objects);
//   changes.makePlan(request, keeper.current(), targets, [](PlanResult result) { ... });
//   changes.confirm(planId, "operator", wallNow, [](ConfirmResult result) { ... });
//
// A plan's snapshot, delta and text are written before its row, and the head row last of all, so that whatever the head
// names is there.
#pragma once

#include "base/Clock.h"
#include "config/ConfigurationHead.h"
#include "control/AuditRecord.h"
#include "control/ConfirmResult.h"
#include "control/KnownTargets.h"
#include "control/Plan.h"
#include "control/PlanRequest.h"
#include "control/PlanResult.h"
#include "store/TableService.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace coriandergate::config {
struct Snapshot;
}
namespace coriandergate::store {
class ObjectStore;
}

namespace coriandergate::control {

// ChangeStore holds no state of its own. The stores must outlive every call back; callbacks run once each, on a thread
// of the stores. Making a plan takes a few tenths of a second at full size on that thread. Safe from any thread.
class ChangeStore {
public:
    using HeadResult = std::variant<std::optional<config::ConfigurationHead>, store::Unavailable>;
    using AuditResult = std::variant<std::vector<AuditRecord>, store::Unavailable>;
    using TextResult = std::variant<std::optional<std::string>, store::Unavailable>;

    ChangeStore(store::TableService& table, store::ObjectStore& objects);

    // makePlan() plans the request's intent against the head of the store. `known` spares a read of the snapshot when
    // it is that of the head, and is the base in its place when it is newer, since the store has then lost changes; it
    // may be null.
    auto makePlan(PlanRequest request, std::shared_ptr<const config::Snapshot> known, KnownTargets targets,
        std::function<void(PlanResult)> done) -> void;

    // confirm() confirms a plan; see Confirmation.h.
    auto confirm(std::string planId, std::string operatorName, WallTime at, std::function<void(ConfirmResult)> done)
        -> void;

    // readHead() reads the head row; nullopt when there is no configuration yet.
    auto readHead(std::function<void(HeadResult)> done) -> void;

    // readAudit() reads at most `limit` records of changes to versions above `afterVersion`, refused ones included.
    auto readAudit(std::uint64_t afterVersion, std::size_t limit, std::function<void(AuditResult)> done) -> void;

    // readPlan() reads the text of a plan (JSON); nullopt when there is none.
    auto readPlan(std::string_view planId, std::function<void(TextResult)> done) -> void;

    // readDelta() reads the encoded delta that leads to `head`; nullopt when it was too large to keep.
    auto readDelta(const config::ConfigurationHead& head, std::function<void(TextResult)> done) -> void;

    // readSnapshot() reads the encoded snapshot of `head`.
    auto readSnapshot(const config::ConfigurationHead& head, std::function<void(TextResult)> done) -> void;

private:
    store::TableService& m_table;
    store::ObjectStore& m_objects;
};

} // namespace coriandergate::control
