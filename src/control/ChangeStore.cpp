#include "control/ChangeStore.h"

#include "config/EntryCodec.h"
#include "control/Confirmation.h"
#include "control/RecordCodec.h"
#include "control/StoreLayout.h"
#include "control/internal/PlanMaking.h"
#include "store/ObjectStore.h"

#include <utility>

namespace coriandergate::control {

ChangeStore::ChangeStore(store::TableService& table, store::ObjectStore& objects)
    : m_table(table)
    , m_objects(objects)
{
}

auto ChangeStore::makePlan(PlanRequest request, std::shared_ptr<const config::Snapshot> known, KnownTargets targets,
    std::function<void(PlanResult)> done) -> void
{
    std::make_shared<internal::PlanMaking>(
        m_table, m_objects, std::move(request), std::move(known), std::move(targets), std::move(done))
        ->start();
}

auto ChangeStore::confirm(
    std::string planId, std::string operatorName, WallTime at, std::function<void(ConfirmResult)> done) -> void
{
    Confirmation::start(m_table, std::move(planId), std::move(operatorName), at, std::move(done));
}

auto ChangeStore::readHead(std::function<void(HeadResult)> done) -> void
{
    m_table.read(layout::headKey, [done = std::move(done)](const store::ReadResult& result) {
        if (const auto* unavailable = std::get_if<store::Unavailable>(&result))
            return done(*unavailable);
        const auto& row = std::get<std::optional<store::Row>>(result);
        if (!row)
            return done(std::optional<config::ConfigurationHead> {});
        Error reason;
        auto head = decodeRecord<config::ConfigurationHead>(row->value, reason);
        if (!head)
            return done(store::Unavailable { reason });
        done(std::move(head));
    });
}

auto ChangeStore::readAudit(std::uint64_t afterVersion, std::size_t limit, std::function<void(AuditResult)> done)
    -> void
{
    // "~" sorts behind every other character that occurs in these keys.
    m_table.list(layout::auditPrefix, layout::refusalKey(afterVersion, "~"), limit,
        [done = std::move(done)](const store::ListResult& result) {
            if (const auto* unavailable = std::get_if<store::Unavailable>(&result))
                return done(*unavailable);
            std::vector<AuditRecord> records;
            for (const auto& row : std::get<std::vector<store::Row>>(result)) {
                Error reason;
                auto record = decodeRecord<AuditRecord>(row.value, reason);
                if (!record)
                    return done(store::Unavailable { reason });
                records.push_back(*std::move(record));
            }
            done(std::move(records));
        });
}

auto ChangeStore::readPlan(std::string_view planId, std::function<void(TextResult)> done) -> void
{
    m_objects.fetch(layout::planKey(planId), std::move(done));
}

auto ChangeStore::readDelta(const config::ConfigurationHead& head, std::function<void(TextResult)> done) -> void
{
    m_table.read(layout::deltaKey(head), [done = std::move(done)](const store::ReadResult& result) {
        if (const auto* unavailable = std::get_if<store::Unavailable>(&result))
            return done(*unavailable);
        const auto& row = std::get<std::optional<store::Row>>(result);
        done(row ? std::optional<std::string>(row->value) : std::nullopt);
    });
}

auto ChangeStore::readSnapshot(const config::ConfigurationHead& head, std::function<void(TextResult)> done) -> void
{
    m_objects.fetch(layout::snapshotName(head), std::move(done));
}

} // namespace coriandergate::control
