// The steps that make one plan: read the head, get its configuration, plan, and write what the plan needs.
#pragma once

#include "control/ChangeStore.h"

#include <cstdint>
#include <memory>
#include <string>

namespace coriandergate::control::internal {

// PlanMaking keeps itself alive until it calls back, exactly once.
class PlanMaking : public std::enable_shared_from_this<PlanMaking> {
public:
    using Callback = std::function<void(PlanResult)>;

    PlanMaking(store::TableService& table, store::ObjectStore& objects, PlanRequest request,
        std::shared_ptr<const config::Snapshot> known, KnownTargets targets, Callback done);

    // start() reads the head row.
    auto start() -> void;

private:
    auto takeHeadRow(const store::ReadResult& result) -> void;
    auto fetchBase() -> void;
    auto plan(const config::Configuration& base) -> void;
    auto putSnapshot(std::string snapshot) -> void;
    auto writeDelta() -> void;
    auto putPlan() -> void;
    auto writeRow() -> void;
    auto notKept(Error error) -> void;

    store::TableService& m_table;
    store::ObjectStore& m_objects;
    PlanRequest m_request;
    std::shared_ptr<const config::Snapshot> m_known;
    KnownTargets m_targets;
    Callback m_done;
    PlanMade m_made;
    std::string m_delta; // encoded
};

} // namespace coriandergate::control::internal
