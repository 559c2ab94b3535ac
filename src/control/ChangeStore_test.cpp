#include "control/ChangeStore.h"

#include "config/Declaration.h"
#include "config/Snapshot.h"
#include "config/SnapshotCodec.h"
#include "control/RecordCodec.h"
#include "store/MemoryStore.h"

#include <catch2/catch.hpp>

#include <random>
#include <set>

namespace coriandergate::control {

namespace {

    // A table whose commits may be held back, dropped, applied without an answer, or fail, as a seed decides.
    class FaultyTable : public store::TableService {
    public:
        explicit FaultyTable(store::MemoryStore& store, std::uint64_t seed)
            : m_store(store)
            , m_random(seed)
        {
        }

        auto commit(store::Transaction transaction, CommitCallback done) -> void override
        {
            const auto lost = store::OutcomeUnknown { { "commit", "table", "no answer came" } };
            switch (m_random() % 6) {
            case 0:
                return done(store::Unavailable { { "commit", "table", "down" } });
            case 1: // arrives later, or never
                m_late.push_back(std::move(transaction));
                return done(lost);
            case 2:
                m_store.commit(std::move(transaction), [](const store::CommitResult&) {});
                return done(lost);
            default:
                return m_store.commit(std::move(transaction), std::move(done));
            }
        }

        auto read(std::string_view key, ReadCallback done) -> void override
        {
            if (m_random() % 8 == 0)
                return done(store::Unavailable { { "read", "table", "down" } });
            m_store.read(key, std::move(done));
        }

        auto list(std::string_view prefix, std::string_view after, std::size_t limit, ListCallback done)
            -> void override
        {
            m_store.list(prefix, after, limit, std::move(done));
        }

        auto deliverLate() -> void
        {
            std::shuffle(m_late.begin(), m_late.end(), m_random);
            for (auto& transaction : std::exchange(m_late, {}))
                m_store.commit(std::move(transaction), [](const store::CommitResult&) {});
        }

    private:
        store::MemoryStore& m_store;
        std::mt19937_64 m_random;
        std::vector<store::Transaction> m_late;
    };

    auto intentOf(double rate) -> PlanRequest::Intent
    {
        return [rate](const config::Configuration& base, Error&) {
            auto intended = base;
            ++intended.version;
            intended.clientAccounts = { { "a", {}, rate, 1 } };
            return std::optional(intended);
        };
    }

    auto planOf(ChangeStore& changes, double rate) -> PlanResult
    {
        PlanResult result = PlanNotKept {};
        changes.makePlan(
            { "maker", "rate", {}, intentOf(rate) }, nullptr, {}, [&](PlanResult made) { result = std::move(made); });
        return result;
    }

    auto planIdOf(ChangeStore& changes, double rate) -> std::string
    {
        return std::get<PlanMade>(planOf(changes, rate)).record.id;
    }

    auto confirmOf(ChangeStore& changes, const std::string& plan, const std::string& operatorName) -> ConfirmResult
    {
        ConfirmResult result = NoSuchPlan {};
        int calls = 0;
        changes.confirm(plan, operatorName, {}, [&](ConfirmResult confirmed) {
            result = std::move(confirmed);
            ++calls;
        });
        CHECK(calls == 1);
        return result;
    }

    auto headOf(ChangeStore& changes) -> config::ConfigurationHead
    {
        config::ConfigurationHead head;
        changes.readHead([&](const ChangeStore::HeadResult& result) {
            head = std::get<0>(result).value_or(config::ConfigurationHead {});
        });
        return head;
    }

    auto auditOf(ChangeStore& changes) -> std::vector<AuditRecord>
    {
        std::vector<AuditRecord> records;
        changes.readAudit(0, 1000, [&](const ChangeStore::AuditResult& result) { records = std::get<0>(result); });
        return records;
    }

} // namespace

TEST_CASE("a confirmed plan moves the head, and its snapshot and delta are there", "[control]")
{
    store::MemoryStore store;
    ChangeStore changes(store, store);
    const auto plan = planIdOf(changes, 7);
    CHECK(headOf(changes).version == 0);
    const auto result = confirmOf(changes, plan, "ann");
    REQUIRE(std::holds_alternative<Accepted>(result));
    const auto head = headOf(changes);
    CHECK(std::get<Accepted>(result).head == head);
    CHECK(head.version == 1);
    changes.readSnapshot(head, [&](const ChangeStore::TextResult& text) {
        Error reason;
        CHECK(config::decodeSnapshot(std::get<0>(text).value(), head, reason)->clientAccounts[0].ratePerSecond == 7);
    });
    changes.readDelta(head, [&](const ChangeStore::TextResult& text) { CHECK(std::get<0>(text).has_value()); });
    changes.readPlan(plan, [&](const ChangeStore::TextResult& text) { CHECK(std::get<0>(text).has_value()); });
    CHECK(std::holds_alternative<PlanRefused>(planOf(changes, 7)));
    CHECK(std::holds_alternative<NoSuchPlan>(confirmOf(changes, "none", "ann")));
}

TEST_CASE("confirming twice changes nothing", "[control]")
{
    store::MemoryStore store;
    ChangeStore changes(store, store);
    const auto plan = planIdOf(changes, 7);
    REQUIRE(std::holds_alternative<Accepted>(confirmOf(changes, plan, "ann")));
    const auto again = confirmOf(changes, plan, "bob");
    CHECK(std::get<Accepted>(again).wasAlready);
    CHECK(headOf(changes).version == 1);
    CHECK(auditOf(changes).size() == 1);
}

TEST_CASE("of two operators one wins and the other learns what changed", "[control]")
{
    store::MemoryStore store;
    ChangeStore changes(store, store);
    const auto first = planIdOf(changes, 7);
    const auto second = planIdOf(changes, 8);
    REQUIRE(std::holds_alternative<Accepted>(confirmOf(changes, second, "bob")));
    const auto result = confirmOf(changes, first, "ann");
    REQUIRE(std::holds_alternative<Conflict>(result));
    REQUIRE(std::get<Conflict>(result).changes.size() == 1);
    CHECK(std::get<Conflict>(result).changes[0].operatorName == "bob");
    CHECK(headOf(changes).version == 1);
    const auto audit = auditOf(changes);
    REQUIRE(audit.size() == 2);
    CHECK(audit[0].result == "accepted");
    CHECK(audit[1].result == "refused: another change came first");
}

TEST_CASE("a lost answer is resolved by reading back, and a lost write by a fence", "[control]")
{
    store::MemoryStore store;
    ChangeStore changes(store, store);
    const auto plan = planIdOf(changes, 7);
    const auto faults
        = GENERATE(store::StoreFaults { .loseCommitAnswers = 1 }, store::StoreFaults { .dropCommits = 1 });
    store.setFaults(faults);
    const auto result = confirmOf(changes, plan, "ann");
    REQUIRE(std::holds_alternative<Accepted>(result));
    CHECK_FALSE(std::get<Accepted>(result).wasAlready);
    CHECK(headOf(changes).version == 1);
    CHECK(auditOf(changes).size() == 1);
}

TEST_CASE("with the store away nothing is accepted", "[control]")
{
    store::MemoryStore store;
    ChangeStore changes(store, store);
    const auto plan = planIdOf(changes, 7);
    store.setFaults({ .isDown = true });
    CHECK(std::holds_alternative<NotAccepted>(confirmOf(changes, plan, "ann")));
    CHECK(std::holds_alternative<PlanNotKept>(planOf(changes, 8)));
    store.setFaults({});
    CHECK(headOf(changes).version == 0);
    CHECK(std::holds_alternative<Accepted>(confirmOf(changes, plan, "ann")));
}

TEST_CASE("whatever the store does, an answer to a confirmation stays true", "[control]")
{
    for (std::uint64_t seed = 0; seed < 400; ++seed) {
        CAPTURE(seed);
        store::MemoryStore store;
        ChangeStore calm(store, store);
        FaultyTable table(store, seed);
        ChangeStore faulty(table, store);
        const std::vector<std::string> plans { planIdOf(calm, 1), planIdOf(calm, 2), planIdOf(calm, 3) };
        std::mt19937_64 random(seed);
        std::vector<std::string> accepted;
        std::set<std::string> mayStand; // by an earlier attempt
        std::vector<std::string> refused; // for good, unless it is confirmed again
        for (int i = 0; i < 12; ++i) {
            const auto& plan = plans[random() % plans.size()];
            const auto before = headOf(calm);
            std::erase(refused, plan);
            const auto result = confirmOf(faulty, plan, "operator-" + std::to_string(i));
            if (std::holds_alternative<Accepted>(result))
                accepted.push_back(plan);
            if (std::holds_alternative<ConfirmUnknown>(result) || std::holds_alternative<Accepted>(result))
                mayStand.insert(plan);
            if (std::holds_alternative<Conflict>(result))
                mayStand.erase(plan);
            // An attempt that was not accepted says nothing about an earlier one that was, or whose outcome is unknown.
            if (std::holds_alternative<Conflict>(result)
                || (std::holds_alternative<NotAccepted>(result) && !mayStand.contains(plan)))
                refused.push_back(plan);
            if (random() % 2 == 0)
                table.deliverLate();
            REQUIRE(headOf(calm).version >= before.version);
        }
        table.deliverLate();
        const auto winner = headOf(calm).version == 0 ? std::string() : auditOf(calm)[0].planId;
        REQUIRE(headOf(calm).version <= 1);
        for (const auto& plan : accepted)
            REQUIRE(plan == winner);
        for (const auto& plan : refused)
            REQUIRE(plan != winner);
    }
}

} // namespace coriandergate::control
