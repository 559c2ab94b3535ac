#include "control/internal/PlanMaking.h"

#include "config/ConfigurationDelta.h"
#include "config/EntryCodec.h"
#include "config/Snapshot.h"
#include "config/SnapshotCodec.h"
#include "control/RecordCodec.h"
#include "control/StoreLayout.h"
#include "store/ObjectStore.h"

#include <array>
#include <cstddef>
#include <sodium.h>
#include <utility>

namespace coriandergate::control::internal {

namespace {

    constexpr std::size_t planIdBytes = 9;

    auto makePlanId() -> std::string
    {
        std::array<unsigned char, planIdBytes> bytes {};
        randombytes_buf(bytes.data(), bytes.size());
        std::string id(planIdBytes * 2 + 1, '\0');
        sodium_bin2hex(id.data(), id.size(), bytes.data(), bytes.size());
        id.pop_back();
        return id;
    }

    // errorOf() is the error of a write that did not certainly take effect, or null.
    template <typename Result> auto errorOf(const Result& result) -> const Error*
    {
        if (const auto* unavailable = std::get_if<store::Unavailable>(&result))
            return &unavailable->error;
        if (const auto* unknown = std::get_if<store::OutcomeUnknown>(&result))
            return &unknown->error;
        return nullptr;
    }

} // namespace

PlanMaking::PlanMaking(store::TableService& table, store::ObjectStore& objects, PlanRequest request,
    std::shared_ptr<const config::Snapshot> known, KnownTargets targets, Callback done)
    : m_table(table)
    , m_objects(objects)
    , m_request(std::move(request))
    , m_known(std::move(known))
    , m_targets(std::move(targets))
    , m_done(std::move(done))
{
}

auto PlanMaking::start() -> void
{
    m_table.read(
        layout::headKey, [self = shared_from_this()](const store::ReadResult& result) { self->takeHeadRow(result); });
}

auto PlanMaking::takeHeadRow(const store::ReadResult& result) -> void
{
    if (const auto* unavailable = std::get_if<store::Unavailable>(&result))
        return notKept(unavailable->error);
    const auto& row = std::get<std::optional<store::Row>>(result);
    Error reason;
    auto head = row ? decodeRecord<config::ConfigurationHead>(row->value, reason) : config::ConfigurationHead {};
    if (!head)
        return notKept(reason);
    m_made.record.base = *std::move(head);
    m_made.record.baseRowVersion = row ? row->version : 0;
    // A version newer than the store's shows that the store lost changes: what is in force goes on from there.
    if (m_known && m_known->configuration->version > m_made.record.base.version)
        m_made.record.base = config::headOf(*m_known->configuration);
    const auto version = m_made.record.base.version;
    if (version == 0)
        return plan({});
    if (m_known && m_known->configuration->version == version)
        return plan(*m_known->configuration);
    fetchBase();
}

auto PlanMaking::fetchBase() -> void
{
    m_objects.fetch(
        layout::snapshotName(m_made.record.base), [self = shared_from_this()](const store::FetchResult& result) {
            if (const auto* unavailable = std::get_if<store::Unavailable>(&result))
                return self->notKept(unavailable->error);
            Error reason { "fetch snapshot", self->m_made.record.base.toText(), "there is no such object" };
            const auto& bytes = std::get<std::optional<std::string>>(result);
            const auto base = bytes ? config::decodeSnapshot(*bytes, self->m_made.record.base, reason) : std::nullopt;
            if (!base)
                return self->notKept(reason);
            self->plan(*base);
        });
}

auto PlanMaking::plan(const config::Configuration& base) -> void
{
    Error reason;
    const auto intended = m_request.intent(base, reason);
    if (!intended)
        return m_done(PlanRefused { reason });
    auto& record = m_made.record;
    m_made.plan = planChange(base, *intended, m_targets);
    if (m_made.plan.changes.empty())
        return m_done(
            PlanRefused { { "plan", {}, "nothing changes against version " + std::to_string(base.version) } });
    if (record.base.version != 0 && m_made.plan.base != record.base)
        return notKept({ "plan", record.base.toText(), "this daemon's configuration is not that of the store" });
    record.base = m_made.plan.base;
    record.target = m_made.plan.target;
    record.id = makePlanId();
    record.author = m_request.operatorName;
    record.purpose = m_request.purpose;
    record.createdAt = m_request.at;
    m_delta = config::encodeDelta(config::deltaBetween(base, *intended));
    putSnapshot(config::encodeSnapshot(*intended));
}

auto PlanMaking::putSnapshot(std::string snapshot) -> void
{
    m_objects.put(layout::snapshotName(m_made.record.target), std::move(snapshot),
        [self = shared_from_this()](const store::PutResult& result) {
            if (const auto* error = errorOf(result))
                return self->notKept(*error);
            self->writeDelta();
        });
}

auto PlanMaking::writeDelta() -> void
{
    if (m_delta.size() > layout::mostDeltaRowBytes)
        return putPlan();
    m_table.commit(
        { "delta-" + m_made.record.id, { { layout::deltaKey(m_made.record.target), 0, std::move(m_delta) } } },
        [self = shared_from_this()](const store::CommitResult& result) {
            // A failed condition means that an equal plan has written the same row before.
            if (const auto* error = errorOf(result))
                return self->notKept(*error);
            self->putPlan();
        });
}

auto PlanMaking::putPlan() -> void
{
    m_objects.put(layout::planKey(m_made.record.id), encodeRecord(m_made.plan),
        [self = shared_from_this()](const store::PutResult& result) {
            if (const auto* error = errorOf(result))
                return self->notKept(*error);
            self->writeRow();
        });
}

auto PlanMaking::writeRow() -> void
{
    m_table.commit(
        { "plan-" + m_made.record.id, { { layout::planKey(m_made.record.id), 0, encodeRecord(m_made.record) } } },
        [self = shared_from_this()](const store::CommitResult& result) {
            if (const auto* error = errorOf(result))
                return self->notKept(*error);
            self->m_done(std::move(self->m_made));
        });
}

auto PlanMaking::notKept(Error error) -> void { m_done(PlanNotKept { std::move(error) }); }

} // namespace coriandergate::control::internal
