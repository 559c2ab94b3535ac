// Guards against a target that gets requests although its leaving was acknowledged, because a message of it or of an
// earlier incarnation came late, twice, out of order or not at all, or its daemon was restarted in between.
#include "fleet/Deregistration.h"
#include "testing/RegistrationFixture.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <random>

namespace coriandergate::fleet {

using testing::RegistrationFixture;

namespace {

    using Random = std::mt19937_64;
    using Time = std::uint64_t; // tenths of a second

    constexpr Time heartbeatPeriod = 15;

    struct Incarnation {
        std::string id;
        Time startedAt = 0;
        Time leavesAt = 0; // when it first says so; never if it crashes
        Time endsAt = 0;
        bool saysDraining = false; // before it ends, instead of deregistering
        bool crashes = false;
    };

    struct Message {
        Time arrivesAt = 0;
        std::size_t incarnation = 0;
        std::uint64_t sequence = 0; // 0 for a deregistration
        bool isLeaving = false;
    };

    // History is what happens beside one daemon, and which messages of the targets arrive when.
    struct History {
        std::vector<Incarnation> incarnations;
        std::vector<Message> messages;
        std::vector<Time> restarts; // of the daemon
    };

    auto drawIncarnations(Random& random) -> std::vector<Incarnation>
    {
        std::vector<Incarnation> incarnations;
        Time now = 10;
        const auto count = 2 + random() % 3;
        for (std::size_t i = 0; i < count; ++i) {
            Incarnation incarnation { .id = random() % 2 == 0 ? "i-same" : "i-" + std::to_string(i), .startedAt = now };
            incarnation.saysDraining = random() % 2 == 0;
            incarnation.crashes = random() % 3 == 0;
            incarnation.leavesAt = now + 2 + random() % 120;
            incarnation.endsAt = incarnation.leavesAt + (incarnation.crashes ? 0 : 30 + random() % 60);
            now = incarnation.endsAt + 3 + random() % 30;
            incarnations.push_back(std::move(incarnation));
        }
        return incarnations;
    }

    // send() adds the arrivals of a message: most often one, soon; at times late, none or two.
    auto send(History& history, Random& random, Time sentAt, Message message) -> void
    {
        for (auto copies = random() % 6 == 0 ? random() % 3 : 1; copies > 0; --copies) {
            message.arrivesAt = sentAt + 1 + (random() % 3 == 0 ? random() % 60 : 0);
            history.messages.push_back(message);
        }
    }

    auto drawHistory(Random& random) -> History
    {
        History history { .incarnations = drawIncarnations(random) };
        for (std::size_t i = 0; i < history.incarnations.size(); ++i) {
            const auto& incarnation = history.incarnations[i];
            std::uint64_t sequence = 0;
            for (auto at = incarnation.startedAt; at < incarnation.leavesAt; at += heartbeatPeriod)
                send(history, random, at, { .incarnation = i, .sequence = ++sequence });
            // Repeated until it is acknowledged; it may be acknowledged and repeated all the same.
            const int repeats = incarnation.crashes ? 0 : 3;
            for (int repeat = 0; repeat < repeats; ++repeat) {
                const auto at = incarnation.leavesAt + static_cast<Time>(repeat) * 10;
                send(history, random, at,
                    { .incarnation = i, .sequence = incarnation.saysDraining ? ++sequence : 0, .isLeaving = true });
            }
        }
        const auto end = history.incarnations.back().endsAt;
        for (auto restarts = random() % 4; restarts > 0; --restarts)
            history.restarts.push_back(random() % end);
        std::sort(history.restarts.begin(), history.restarts.end());
        std::stable_sort(history.messages.begin(), history.messages.end(),
            [](const Message& left, const Message& right) { return left.arrivesAt < right.arrivesAt; });
        return history;
    }

    // Play sends the messages of a history to a daemon and to those that replace it.
    class Play {
    public:
        explicit Play(const History& history)
            : m_history(history)
            , m_isAcknowledged(history.incarnations.size())
            , m_daemon(std::make_unique<RegistrationFixture>())
        {
            m_daemon->registration.onHostsLoaded();
        }

        auto run(Random& random) -> void
        {
            auto restart = m_history.restarts.begin();
            for (const auto& message : m_history.messages) {
                if (message.arrivesAt >= m_history.incarnations.back().endsAt)
                    break;
                for (; restart != m_history.restarts.end() && *restart <= message.arrivesAt; ++restart)
                    restartDaemon();
                if (!m_areHostsLoaded && random() % 2 == 0)
                    loadHosts();
                deliver(message);
                check(message.arrivesAt);
                if (!m_areHostsLoaded && random() % 2 == 0) {
                    loadHosts();
                    check(message.arrivesAt);
                }
            }
        }

        [[nodiscard]] auto acknowledgedLeavings() const -> std::size_t
        {
            return static_cast<std::size_t>(std::count(m_isAcknowledged.begin(), m_isAcknowledged.end(), true));
        }
        [[nodiscard]] auto served() const -> std::size_t { return m_served; }

    private:
        auto restartDaemon() -> void
        {
            auto next = std::make_unique<RegistrationFixture>();
            next->store.row = m_daemon->store.row;
            next->store.newest = m_daemon->store.newest;
            m_daemon = std::move(next);
            m_areHostsLoaded = false;
        }

        auto loadHosts() -> void
        {
            const auto& row = m_daemon->store.row;
            if (row.version > 0)
                m_daemon->directory.apply({ row }, true);
            m_daemon->registration.onHostsLoaded();
            m_areHostsLoaded = true;
        }

        auto deliver(const Message& message) -> void
        {
            const auto& incarnation = m_history.incarnations[message.incarnation];
            const auto acknowledge = [this, message](bool isStored) {
                if (isStored && message.isLeaving)
                    m_isAcknowledged[message.incarnation] = true;
            };
            if (message.sequence == 0) {
                m_daemon->registration.receive(Deregistration { incarnation.id, incarnation.startedAt }, acknowledge);
                return;
            }
            const auto heartbeat = RegistrationFixture::makeHeartbeat(
                incarnation.id, incarnation.startedAt, message.sequence, message.isLeaving);
            Error reason;
            REQUIRE(m_daemon->registration.receive(heartbeat, acknowledge, reason));
        }

        auto check(Time now) -> void
        {
            // A request names the target that it is meant for, so one for another id does not run.
            const auto latest = std::find_if(m_history.incarnations.rbegin(), m_history.incarnations.rend(),
                [now](const Incarnation& incarnation) { return incarnation.startedAt <= now; });
            if (latest == m_history.incarnations.rend() || now >= latest->endsAt)
                return;
            const auto index = static_cast<std::size_t>(m_history.incarnations.rend() - latest) - 1;
            const auto& target = m_daemon->target;
            const bool isServing = m_areHostsLoaded && target.isServing() && target.current()->id == latest->id;
            m_served += isServing ? 1 : 0;
            CAPTURE(now, index, latest->id, latest->startedAt);
            CHECK_FALSE((isServing && m_isAcknowledged[index]));
        }

        const History& m_history;
        std::vector<bool> m_isAcknowledged; // by incarnation
        std::unique_ptr<RegistrationFixture> m_daemon;
        bool m_areHostsLoaded = true;
        std::size_t m_served = 0;
    };

} // namespace

TEST_CASE("an acknowledged leaving stays one in any order of messages and restarts of the daemon")
{
    std::size_t acknowledgedLeavings = 0;
    std::size_t served = 0;
    for (unsigned seed = 1; seed <= 2000; ++seed) {
        INFO("seed " << seed);
        Random random(seed);
        const auto history = drawHistory(random);
        Play play(history);
        play.run(random);
        acknowledgedLeavings += play.acknowledgedLeavings();
        served += play.served();
    }
    CHECK(acknowledgedLeavings > 2000);
    CHECK(served > 10000);
}

TEST_CASE("a target that deregisters before its late first heartbeat, after another one crashed, never serves")
{
    RegistrationFixture fixture;
    fixture.registration.onHostsLoaded();
    fixture.sendHeartbeat(RegistrationFixture::makeHeartbeat("i-1", 100, 9));
    const auto* id = GENERATE("i-1", "i-2");
    fixture.registration.receive(Deregistration { id, 200 }, fixture.acknowledge());
    CHECK(fixture.acknowledgements == std::vector<bool> { true, true });
    CHECK(fixture.storedRecord().state == HostRecord::State::Draining);
    CHECK(fixture.storedRecord().targetId == id);
    CHECK(fixture.storedRecord().targetStartedAt == 200);
    for (const std::uint64_t sequence : { 1, 2 }) {
        fixture.sendHeartbeat(RegistrationFixture::makeHeartbeat(id, 200, sequence));
        CHECK_FALSE(fixture.target.isServing());
    }
}

TEST_CASE("a deregistration that can't be ordered is not acknowledged")
{
    RegistrationFixture fixture;
    fixture.registration.onHostsLoaded();
    fixture.sendHeartbeat(RegistrationFixture::makeHeartbeat("i-1", 100, 1));
    fixture.registration.receive(Deregistration { "i-2", 0 }, fixture.acknowledge());
    CHECK(fixture.acknowledgements == std::vector<bool> { true, false });
    CHECK(fixture.target.isServing());
}

} // namespace coriandergate::fleet
