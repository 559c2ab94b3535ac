// Several gates that call each other over loopback, with a view of the fleet that the test sets.
#include "daemon/LedgerOnceGate.h"
#include "daemon/PeerRouter.h"
#include "http/Server.h"
#include "http/WorkerPool.h"
#include "proxy/ProxyContext.h"
#include "proxy/RequestContext.h"
#include "testing/Application.h"

#include <QCoreApplication>
#include <algorithm>
#include <catch2/catch.hpp>
#include <future>
#include <thread>

using namespace coriandergate;
using namespace coriandergate::daemon;
using namespace std::chrono_literals;

namespace {

constexpr unsigned seatCount = 4;

// What all gates of a test believe.
struct Belief {
    mutable Mutex mutex;
    std::vector<once::SeatRebuild::Member> members GUARDED_BY(mutex);
    std::vector<once::LostDaemon> lost GUARDED_BY(mutex);
    std::optional<DaemonIdentity> knowsLosses GUARDED_BY(mutex); // nobody else does; unset: all do
    DaemonIdentity holder GUARDED_BY(mutex);
    std::set<DaemonIdentity> takeThemselvesForHolder GUARDED_BY(mutex); // until they are told otherwise
    std::optional<DaemonIdentity> former GUARDED_BY(mutex);
    std::uint64_t epoch GUARDED_BY(mutex) = 1;
    MonotonicTime heldSince GUARDED_BY(mutex) = monotonicNow();
};

class BelievedView : public OnceFleetView {
public:
    BelievedView(DaemonIdentity self, std::shared_ptr<Belief> belief)
        : m_self(std::move(self))
        , m_belief(std::move(belief))
    {
    }
    auto seatCount() const -> unsigned override { return ::seatCount; }
    auto holderOf(unsigned) const -> std::optional<DaemonIdentity> override
    {
        const MutexLock lock(m_belief->mutex);
        return m_belief->takeThemselvesForHolder.contains(m_self) ? m_self : m_belief->holder;
    }
    auto rejectHolder(unsigned, const DaemonIdentity& daemon) const -> void override
    {
        const MutexLock lock(m_belief->mutex);
        if (daemon == m_self)
            m_belief->takeThemselvesForHolder.erase(m_self);
    }
    auto tenureOf(unsigned seat, MonotonicTime now) const -> std::optional<once::SeatLease> override
    {
        const MutexLock lock(m_belief->mutex);
        if (m_belief->holder != m_self)
            return std::nullopt;
        return once::SeatLease { seat, m_belief->epoch, now + 2s, m_belief->heldSince, m_belief->former, {} };
    }
    auto members() const -> std::vector<once::SeatRebuild::Member> override
    {
        const MutexLock lock(m_belief->mutex);
        return m_belief->members;
    }
    auto lost() const -> std::vector<once::LostDaemon> override
    {
        const MutexLock lock(m_belief->mutex);
        if (m_belief->knowsLosses.value_or(m_self) != m_self)
            return {};
        return m_belief->lost;
    }

private:
    DaemonIdentity m_self;
    std::shared_ptr<Belief> m_belief;
};

struct Node {
    Node(std::uint64_t number, std::size_t dataCentre, const std::shared_ptr<Belief>& belief)
        : workers(std::make_shared<http::WorkerPool>(http::WorkerPool::Options { 1 }))
        , context(std::make_shared<proxy::ProxyContext>())
        , server(*workers, {}, [this](std::shared_ptr<http::Exchange> exchange) { router.handle(std::move(exchange)); })
    {
        Error reason;
        REQUIRE(server.listen(reason));
        context->workers = workers;
        context->clients.resize(1);
        workers->runAndWait(
            0, [this] { context->clients[0] = std::make_unique<http::Client>(http::Client::Options {}); });
        context->self = { "127.0.0.1:" + std::to_string(server.port()), number };
        context->locality = { "region", "dc-" + std::to_string(dataCentre) };
        const auto view = std::make_shared<BelievedView>(context->self, belief);
        gate = std::make_shared<LedgerOnceGate>(
            LedgerOnceGate::Options {}, context, view, monotonicNow() - std::chrono::hours(9));
        gate->addHandlers(router);
    }
    ~Node()
    {
        workers->runAndWait(0, [this] { context->clients[0].reset(); });
    }

    std::shared_ptr<http::WorkerPool> workers;
    std::shared_ptr<proxy::ProxyContext> context;
    PeerRouter router;
    http::Server server;
    std::shared_ptr<LedgerOnceGate> gate;
};

class Fleet {
public:
    // Fleet() has its daemons in turn in `dataCentres` data centres.
    Fleet(std::size_t count, std::size_t dataCentres)
    {
        testing::ensureApplication();
        for (std::size_t number = 1; number <= count; ++number) {
            nodes.push_back(std::make_unique<Node>(number, number % dataCentres, belief));
            const MutexLock lock(belief->mutex);
            belief->members.push_back({ nodes.back()->context->self, nodes.back()->context->locality.dataCentre });
        }
        hold(0);
    }

    // hold() makes node `index` the holder, in a new epoch, and lets it ask for reports.
    auto hold(std::size_t index) -> void
    {
        {
            const MutexLock lock(belief->mutex);
            if (!belief->holder.address.empty()) {
                belief->former = belief->holder;
                ++belief->epoch;
            }
            belief->holder = nodes[index]->context->self;
            belief->heldSince = monotonicNow();
        }
        waitFor([&] {
            for (const auto& node : nodes) {
                if (node)
                    node->gate->tick(monotonicNow());
            }
            return nodes[index]->gate->missingReports() == 0;
        });
    }

    // stop() ends a daemon as planned.
    auto stop(std::size_t index) -> void
    {
        // The other's listener needs this thread's event loop.
        auto isTaken = std::async([gate = nodes[index]->gate] { return gate->handOver(monotonicNow()); });
        waitFor([&] { return isTaken.wait_for(0s) == std::future_status::ready; });
        CHECK(isTaken.get());
        lose(index);
    }

    auto lose(std::size_t index) -> void
    {
        const auto identity = nodes[index]->context->self;
        const auto dataCentre = nodes[index]->context->locality.dataCentre;
        nodes[index].reset();
        const MutexLock lock(belief->mutex);
        std::erase_if(belief->members, [&](const auto& member) { return member.identity == identity; });
        belief->lost.push_back({ identity, dataCentre, monotonicNow() });
    }

    auto label(const std::string& key, std::uint64_t fingerprint = 7) -> std::string
    {
        proxy::RequestContext request;
        request.clientAccount = "a";
        request.idempotencyKey = key;
        request.fingerprint = fingerprint;
        return nodes.back()->gate->label(request);
    }

    auto begin(std::size_t owner, const std::string& label) -> proxy::OnceDecision
    {
        const auto decided = std::make_shared<std::optional<proxy::OnceDecision>>();
        const auto isDecided = std::make_shared<std::atomic<bool>>(false);
        const auto now = monotonicNow();
        nodes[owner]->gate->begin(label, now + 5s, now, [decided, isDecided](proxy::OnceDecision decision) {
            *decided = std::move(decision);
            *isDecided = true;
        });
        waitFor([&] { return isDecided->load(); });
        return **decided;
    }

    // run() takes one attempt at `key` through the target of `owner`.
    auto run(std::size_t owner, const std::string& key) -> void
    {
        const auto attempt = label(key);
        REQUIRE(std::holds_alternative<proxy::RunPermit>(begin(owner, attempt)));
        REQUIRE_FALSE(nodes[owner]->gate->check(attempt, monotonicNow()));
        CHECK(nodes[owner]->gate->check(attempt, monotonicNow())); // no second time
        const auto answer = http::makeAnswer(201, "text/plain", key);
        nodes[owner]->gate->finish(attempt, proxy::Outcome::Ran, &answer, monotonicNow());
    }

    std::shared_ptr<Belief> belief = std::make_shared<Belief>();
    std::vector<std::unique_ptr<Node>> nodes;

private:
    static auto waitFor(const std::function<bool()>& condition) -> void
    {
        for (int round = 0; round < 1000; ++round) {
            if (condition())
                return;
            QCoreApplication::processEvents();
            std::this_thread::sleep_for(5ms);
        }
        FAIL("nothing came within 5 s");
    }
};

auto outcomeOf(const proxy::OnceDecision& decision) -> proxy::Outcome
{
    const auto* refusal = std::get_if<proxy::Refusal>(&decision);
    REQUIRE(refusal);
    return refusal->outcome;
}

// What a resend is answered with once the owner's word has reached the holder.
auto keptAnswer(Fleet& fleet, std::size_t owner, const std::string& key) -> std::string
{
    for (int round = 0; round < 200; ++round) {
        const auto decision = fleet.begin(owner, fleet.label(key));
        if (const auto* kept = std::get_if<proxy::KeptAnswer>(&decision))
            return kept->answer.body;
        CHECK(outcomeOf(decision) == proxy::Outcome::MayHaveRun);
        std::this_thread::sleep_for(10ms);
    }
    return {};
}

} // namespace

TEST_CASE("over several daemons a key runs once, also after the loss of its holder and of its owner")
{
    Fleet fleet(5, 5); // 0 holds at first, 1 owns, 2 takes the resends, 3 holds later
    const auto running = fleet.label("k1");
    REQUIRE(std::holds_alternative<proxy::RunPermit>(fleet.begin(1, running)));
    CHECK(outcomeOf(fleet.begin(1, running)) == proxy::Outcome::MayHaveRun); // the same attempt, repeated
    CHECK(outcomeOf(fleet.begin(2, fleet.label("k1"))) == proxy::Outcome::MayHaveRun);
    CHECK(outcomeOf(fleet.begin(2, fleet.label("k1", 8))) == proxy::Outcome::NotRun);
    fleet.nodes[1]->gate->finish(running, proxy::Outcome::NotRun, nullptr, monotonicNow());
    CHECK(fleet.nodes[1]->gate->check(running, monotonicNow())); // closed for good
    fleet.run(2, "k2");
    fleet.run(1, "k3");
    CHECK(keptAnswer(fleet, 1, "k2") == "k2");

    const auto held = fleet.label("k4"); // permitted by a holder that is replaced before its use
    REQUIRE(std::holds_alternative<proxy::RunPermit>(fleet.begin(1, held)));
    fleet.lose(0);
    fleet.hold(3);
    CHECK(fleet.nodes[1]->gate->check(held, monotonicNow()));
    CHECK(keptAnswer(fleet, 1, "k2") == "k2");
    const auto started = fleet.label("k5");
    REQUIRE(std::holds_alternative<proxy::RunPermit>(fleet.begin(2, started)));
    REQUIRE_FALSE(fleet.nodes[2]->gate->check(started, monotonicNow()));

    fleet.lose(2); // the second loss: what runs there is remembered by the holder, and by its witness
    fleet.hold(4);
    CHECK(outcomeOf(fleet.begin(1, fleet.label("k5"))) == proxy::Outcome::MayHaveRun);
    CHECK(keptAnswer(fleet, 1, "k3") == "k3");
    // Two daemons of different data centres are gone: a key that nobody knows may have run.
    CHECK(outcomeOf(fleet.begin(1, fleet.label("new"))) == proxy::Outcome::MayHaveRun);
}

TEST_CASE("a planned stop loses nothing: what the daemon remembered is with another one of its data centre")
{
    Fleet fleet(6, 3); // 0 holds at first; 1 and 4 stand together, as do 2 and 5
    fleet.run(1, "k1");
    CHECK(keptAnswer(fleet, 2, "k1") == "k1");
    const auto held = fleet.label("k2");
    REQUIRE(std::holds_alternative<proxy::RunPermit>(fleet.begin(1, held)));
    const auto gate = fleet.nodes[1]->gate;
    fleet.stop(1);
    fleet.stop(2);
    CHECK(gate->check(held, monotonicNow())); // it starts nothing any more
    fleet.lose(0);
    fleet.hold(3);
    CHECK(keptAnswer(fleet, 4, "k1") == "k1");
    CHECK(std::holds_alternative<proxy::RunPermit>(fleet.begin(4, fleet.label("new"))));
}

// Guards against a second run after two losses that only a daemon knew of that has stopped since.
TEST_CASE("a planned stop hands over which daemons were lost")
{
    Fleet fleet(6, 3); // 0 holds at first; 0 and 3 stand together, as do 1 and 4, and 2 and 5
    const std::vector<std::string> keys { "k1", "k2", "k3", "k4", "k5", "k6" };
    for (const auto& key : keys) {
        const auto attempt = fleet.label(key);
        REQUIRE(std::holds_alternative<proxy::RunPermit>(fleet.begin(1, attempt)));
        REQUIRE_FALSE(fleet.nodes[1]->gate->check(attempt, monotonicNow()));
    }
    const auto make = [&](const std::string& key) { return fleet.label(key); };
    std::vector<std::string> resends;
    std::transform(keys.begin(), keys.end(), std::back_inserter(resends), make);
    {
        const MutexLock lock(fleet.belief->mutex);
        fleet.belief->knowsLosses = fleet.nodes[0]->context->self; // the others were started later
    }
    for (const auto lost : { 1U, 2U, 5U }) // the owner and whoever was the witness elsewhere
        fleet.lose(lost);
    fleet.stop(0);
    fleet.hold(4);
    for (const auto& resend : resends)
        CHECK(outcomeOf(fleet.begin(3, resend)) == proxy::Outcome::MayHaveRun);
}

// Guards against refusing the resend of a request that ran because no new one could be remembered.
TEST_CASE("what is known of a key is told also when too few daemons are left to remember a new one")
{
    const auto isGone = GENERATE(true, false); // else the lost daemons are still believed to live
    const auto holder = GENERATE(0U, 1U);
    Fleet fleet(4, 4); // 1 owns
    if (holder != 0)
        fleet.hold(holder);
    fleet.run(1, "k1");
    const auto running = fleet.label("k2");
    REQUIRE(std::holds_alternative<proxy::RunPermit>(fleet.begin(1, running)));
    CHECK(keptAnswer(fleet, 1, "k1") == "k1");
    std::vector<std::string> labels;
    for (int i = 0; i < 200; ++i)
        labels.push_back(fleet.label("k1"));
    const auto resend = fleet.label("k2");
    const std::vector<std::string> fresh { fleet.label("new"), fleet.label("new") };
    const auto members = [&] {
        const MutexLock lock(fleet.belief->mutex);
        return fleet.belief->members;
    }();
    for (const auto lost : { 2U, 3U })
        fleet.lose(lost);
    if (!isGone) {
        const MutexLock lock(fleet.belief->mutex);
        fleet.belief->members = members;
        fleet.belief->lost.clear();
    }
    CAPTURE(isGone, holder);
    for (const auto& label : labels)
        CHECK(std::holds_alternative<proxy::KeptAnswer>(fleet.begin(1, label)));
    CHECK(outcomeOf(fleet.begin(1, resend)) == proxy::Outcome::MayHaveRun);
    for (const auto& label : fresh)
        CHECK(outcomeOf(fleet.begin(1, label)) == proxy::Outcome::NotRun);
}

// Guards against refusing every key of a seat for as long as a daemon takes itself for the seat's holder.
TEST_CASE("a daemon that wrongly takes itself for the holder of a seat asks the others")
{
    Fleet fleet(4, 4); // 0 holds
    {
        const MutexLock lock(fleet.belief->mutex);
        fleet.belief->takeThemselvesForHolder.insert(fleet.nodes[1]->context->self);
    }
    fleet.run(1, "k1");
    CHECK(keptAnswer(fleet, 2, "k1") == "k1");
}
