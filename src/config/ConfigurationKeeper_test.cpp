#include "config/ConfigurationKeeper.h"

#include "config/Configuration.h"
#include "config/ConfigurationDelta.h"
#include "config/PollerElection.h"
#include "config/Snapshot.h"
#include "config/SnapshotCodec.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <iterator>

namespace coriandergate::config {

namespace {

    using namespace std::chrono_literals;

    const MonotonicTime start { 100s };

    auto versionOf(std::uint64_t version) -> Configuration
    {
        Configuration configuration;
        configuration.version = version;
        configuration.clientAccounts.push_back({ "a", {}, static_cast<double>(version), 1 });
        return configuration;
    }

    auto headOfVersion(std::uint64_t version) -> ConfigurationHead { return headOf(versionOf(version)); }

    auto deltaTo(std::uint64_t version) -> std::string
    {
        return encodeDelta(deltaBetween(versionOf(version - 1), versionOf(version)));
    }

    auto takeSnapshot(ConfigurationKeeper& keeper, std::uint64_t version) -> bool
    {
        Error reason;
        return keeper.onSnapshot(encodeSnapshot(versionOf(version)), headOfVersion(version), reason);
    }

    auto takeDelta(ConfigurationKeeper& keeper, std::uint64_t version) -> bool
    {
        Error reason;
        const std::vector<std::string> deltas { deltaTo(version) };
        return keeper.onDelta(deltas, reason);
    }

    auto pullOf(const std::vector<KeeperAction>& actions) -> std::optional<Pull>
    {
        for (const auto& action : actions) {
            if (const auto* pull = std::get_if<Pull>(&action))
                return *pull;
        }
        return std::nullopt;
    }

    // A fleet of keepers around one store; the network can be cut, and loses one message in ten.
    class Fleet {
    public:
        Fleet(int dataCentres, int daemons, std::uint64_t seed)
            : m_random(seed)
        {
            for (int i = 0; i < dataCentres * daemons; ++i) {
                m_addresses.push_back("d" + std::to_string(i));
                m_dataCentres.push_back(i % dataCentres);
                restart(static_cast<std::size_t>(i));
            }
        }

        auto restart(std::size_t daemon) -> void
        {
            if (keepers.size() <= daemon)
                keepers.resize(daemon + 1);
            keepers[daemon] = std::make_unique<ConfigurationKeeper>(m_addresses[daemon], KeeperOptions {}, m_random());
        }

        // Each step is 100 ms; a message takes one step.
        auto step() -> void
        {
            now += 100ms;
            auto due = std::exchange(m_messages, {});
            std::shuffle(due.begin(), due.end(), m_random);
            for (auto& message : due)
                message();
            for (std::size_t i = 0; i < keepers.size(); ++i) {
                std::vector<KeeperPeer> peers;
                for (std::size_t j = 0; j < keepers.size(); ++j) {
                    if (i != j && isLinked(i, j))
                        peers.push_back({ m_addresses[j], m_dataCentres[i] == m_dataCentres[j] });
                }
                const auto before = keepers[i]->head().version;
                for (const auto& action : keepers[i]->tick(now, peers))
                    std::visit([&](const auto& step) { carryOut(i, step); }, action);
                hasReverted = hasReverted || keepers[i]->head().version < before;
            }
        }

        // stepsUntil() counts the steps until every daemon has `version`.
        auto stepsUntil(std::uint64_t version) -> int
        {
            for (int steps = 0; steps < 600; ++steps) {
                if (std::all_of(
                        keepers.begin(), keepers.end(), [&](const auto& k) { return k->head().version >= version; }))
                    return steps;
                step();
            }
            return -1;
        }

        MonotonicTime now = start;
        std::vector<std::unique_ptr<ConfigurationKeeper>> keepers;
        std::uint64_t storeVersion = 1;
        bool isStoreDown = false;
        int storeReads = 0;
        bool hasReverted = false;
        std::function<bool(std::size_t, std::size_t)> isLinked = [](std::size_t, std::size_t) { return true; };

    private:
        auto send(std::size_t from, std::size_t to, std::function<void()> message) -> bool
        {
            const auto isSent = isLinked(from, to) && m_random() % 10 != 0;
            if (isSent)
                m_messages.push_back(std::move(message));
            return isSent;
        }

        auto indexOf(const std::string& address) -> std::size_t { return std::stoul(address.substr(1)); }

        auto carryOut(std::size_t self, const PollStore&) -> void
        {
            ++storeReads;
            if (isStoreDown)
                return keepers[self]->onStoreFailed(now);
            m_messages.push_back([this, self, head = headOfVersion(storeVersion), askedAt = now] {
                keepers[self]->onStoreHead(head, askedAt);
            });
        }

        auto carryOut(std::size_t self, const AskPeer& ask) -> void
        {
            const auto peer = indexOf(ask.peer);
            send(self, peer, [this, self, peer, askedAt = now] {
                send(peer, self, [this, self, peer, askedAt, head = keepers[peer]->head()] {
                    keepers[self]->onPeerHead(m_addresses[peer], head, askedAt);
                });
            });
        }

        auto carryOut(std::size_t self, const AnnounceToPeer& announcement) -> void
        {
            const auto peer = indexOf(announcement.peer);
            send(self, peer, [this, self, peer, head = announcement.head] {
                keepers[peer]->onAnnouncement(m_addresses[self], head);
            });
        }

        auto carryOut(std::size_t self, const Pull& pull) -> void
        {
            storeReads += pull.peer.empty() ? 1 : 0;
            const auto isLost = !pull.peer.empty() && !isLinked(self, indexOf(pull.peer));
            if (isLost || (pull.peer.empty() && isStoreDown) || m_random() % 10 == 0)
                return keepers[self]->onPullFailed(pull, now);
            m_messages.push_back([this, self, pull] {
                if (pull.from.version + 1 == pull.to.version && pull.from.version != 0)
                    (void)takeDelta(*keepers[self], pull.to.version);
                else
                    (void)takeSnapshot(*keepers[self], pull.to.version);
            });
        }

        std::mt19937_64 m_random;
        std::vector<std::string> m_addresses;
        std::vector<int> m_dataCentres;
        std::vector<std::function<void()>> m_messages;
    };

} // namespace

TEST_CASE("a keeper takes only what is newer and what the digests name", "[config]")
{
    ConfigurationKeeper keeper("self", {}, 1);
    Error reason;
    CHECK(keeper.current() == nullptr);
    CHECK_FALSE(takeDelta(keeper, 2));
    CHECK(takeSnapshot(keeper, 5));
    CHECK(takeDelta(keeper, 6));
    CHECK_FALSE(takeSnapshot(keeper, 6));
    CHECK_FALSE(takeSnapshot(keeper, 5));
    CHECK_FALSE(takeDelta(keeper, 6));
    CHECK_FALSE(takeDelta(keeper, 8));
    CHECK_FALSE(keeper.onSnapshot(encodeSnapshot(versionOf(7)), headOfVersion(8), reason));
    CHECK(keeper.head() == headOfVersion(6));
    CHECK(keeper.current()->clientAccount("a")->ratePerSecond == 6);
    CHECK(keeper.deltasFrom(headOfVersion(5)) == std::vector<std::string> { deltaTo(6) });
    CHECK_FALSE(keeper.deltasFrom(headOfVersion(4)).has_value());
    CHECK(takeSnapshot(keeper, 9));
    CHECK_FALSE(keeper.deltasFrom(headOfVersion(5)).has_value());
}

TEST_CASE("an answer counts as contact from its question, and only with what it names", "[config]")
{
    ConfigurationKeeper keeper("self", {}, 1);
    CHECK(keeper.freshness(start) == Freshness::None);
    REQUIRE(takeSnapshot(keeper, 5));
    CHECK(keeper.freshness(start) == Freshness::Expired);
    keeper.onStoreHead(headOfVersion(5), start);
    CHECK(keeper.freshness(start + 4s) == Freshness::Current);
    CHECK(keeper.freshness(start + 4001ms) == Freshness::KeysExpired);
    CHECK(keeper.freshness(start + 1h + 1ms) == Freshness::Expired);
    // Paused with the answer in the receive buffer: it arrives, but it was asked for long ago.
    keeper.onPeerHead("peer", headOfVersion(5), start + 100ms);
    CHECK(keeper.freshness(start + 10s) == Freshness::KeysExpired);
    // Told of a newer version: no contact until it is there.
    keeper.onPeerHead("peer", headOfVersion(6), start + 9s);
    CHECK(keeper.freshness(start + 10s) == Freshness::KeysExpired);
    keeper.onAnnouncement("other", headOfVersion(6));
    REQUIRE(takeDelta(keeper, 6));
    CHECK(keeper.freshness(start + 10s) == Freshness::Current);
    CHECK(keeper.freshness(start + 13001ms) == Freshness::KeysExpired);
    CHECK(keeper.contactAge(start + 10s) == 1s);
}

TEST_CASE("a peer's false word is dropped and the store's stands", "[config]")
{
    ConfigurationKeeper keeper("self", {}, 1);
    REQUIRE(takeSnapshot(keeper, 5));
    keeper.onAnnouncement("liar", { 99, "beef" });
    const auto pull = pullOf(keeper.tick(start, {}));
    REQUIRE(pull == Pull { "liar", headOfVersion(5), { 99, "beef" } });
    keeper.onPullFailed(*pull, start);
    CHECK_FALSE(pullOf(keeper.tick(start + 1s, {})).has_value());
    keeper.onStoreHead(headOfVersion(6), start);
    keeper.onAnnouncement("liar", { 6, "beef" });
    for (int i = 0; i < 1000; ++i)
        keeper.onAnnouncement("liar-" + std::to_string(i), { 99, "beef" });
    const auto fromStore = pullOf(keeper.tick(start + 1s, {}));
    REQUIRE(fromStore == Pull { "", headOfVersion(5), headOfVersion(6) });
    keeper.onPullFailed(*fromStore, start + 1s);
    CHECK(pullOf(keeper.tick(start + 2s, {})) == fromStore);
    // A store that lost changes takes nothing back.
    keeper.onStoreHead(headOfVersion(4), start + 3s);
    CHECK(keeper.isStoreBehind());
    CHECK(keeper.head() == headOfVersion(5));
}

TEST_CASE("a new daemon waits for several peers before it takes the newest", "[config]")
{
    ConfigurationKeeper keeper("self", {}, 1);
    (void)keeper.tick(start, {});
    keeper.onPeerHead("stale", headOfVersion(4), start);
    CHECK_FALSE(pullOf(keeper.tick(start + 100ms, {})).has_value());
    SECTION("until enough have answered")
    {
        keeper.onPeerHead("newer", headOfVersion(6), start);
        keeper.onPeerHead("third", headOfVersion(5), start);
        CHECK(pullOf(keeper.tick(start + 200ms, {}))->peer == "newer");
    }
    SECTION("or the time is up") { CHECK(pullOf(keeper.tick(start + 2s, {}))->peer == "stale"); }
    SECTION("or the store has answered")
    {
        keeper.onStoreHead(headOfVersion(6), start);
        CHECK(pullOf(keeper.tick(start + 200ms, {}))->peer.empty());
    }
}

TEST_CASE("a few daemons are elected to poll, and a change moves few of them", "[config]")
{
    std::vector<std::string> members;
    for (int i = 0; i < 94; ++i)
        members.push_back("10.0.0." + std::to_string(i) + ":7101");
    const auto pollers = [&] {
        std::vector<std::string> elected;
        for (const auto& member : members) {
            if (isPoller(member, members, 3))
                elected.push_back(member);
        }
        return elected;
    };
    const auto before = pollers();
    CHECK(before.size() == 3);
    std::erase(members, before.front());
    const auto after = pollers();
    CHECK(after.size() == 3);
    CHECK(std::count_if(before.begin(), before.end(), [&](const auto& p) {
        return std::find(after.begin(), after.end(), p) != after.end();
    }) == 2);
}

TEST_CASE("a fleet takes each version everywhere within 6 s, reads little and never reverts", "[config]")
{
    const auto seed = GENERATE(range(1, 6));
    CAPTURE(seed);
    Fleet fleet(3, 20, static_cast<std::uint64_t>(seed));
    REQUIRE(fleet.stepsUntil(1) >= 0);
    for (int version = 2; version < 8; ++version) {
        fleet.storeVersion = static_cast<std::uint64_t>(version);
        const auto steps = fleet.stepsUntil(fleet.storeVersion);
        CHECK(steps >= 0);
        CHECK(steps <= 60);
    }
    fleet.storeReads = 0;
    for (int i = 0; i < 100; ++i)
        fleet.step();
    CHECK(fleet.storeReads <= 3 * 3 * 10 * 4 / 3); // pollers, seconds, shortest interval 0.75 s
    CHECK_FALSE(fleet.hasReverted);
}

TEST_CASE("with the store away a restarted daemon gets the newest from its peers and goes on", "[config]")
{
    Fleet fleet(2, 10, 7);
    fleet.storeVersion = 4;
    REQUIRE(fleet.stepsUntil(4) >= 0);
    fleet.isStoreDown = true;
    for (int i = 0; i < 300; ++i)
        fleet.step();
    for (std::size_t i = 0; i < 5; ++i)
        fleet.restart(i);
    CHECK(fleet.stepsUntil(4) <= 60);
    for (int i = 0; i < 50; ++i)
        fleet.step();
    for (const auto& keeper : fleet.keepers)
        CHECK(keeper->freshness(fleet.now) == Freshness::Current);
    fleet.isStoreDown = false;
    fleet.storeVersion = 5;
    fleet.storeReads = 0;
    CHECK(fleet.stepsUntil(5) <= 100);
    CHECK(fleet.storeReads <= 100);
    CHECK_FALSE(fleet.hasReverted);
}

TEST_CASE("a daemon that is cut off stops taking keys and comes back with the newest", "[config]")
{
    Fleet fleet(2, 5, 9);
    REQUIRE(fleet.stepsUntil(1) >= 0);
    fleet.isLinked = [](std::size_t from, std::size_t to) { return from != 3 && to != 3; };
    fleet.isStoreDown = true;
    for (int i = 0; i < 60; ++i)
        fleet.step();
    CHECK(fleet.keepers[3]->freshness(fleet.now) == Freshness::KeysExpired);
    CHECK(fleet.keepers[4]->freshness(fleet.now) == Freshness::Current);
    fleet.isLinked = [](std::size_t, std::size_t) { return true; };
    fleet.isStoreDown = false;
    fleet.storeVersion = 2;
    CHECK(fleet.stepsUntil(2) <= 100);
    CHECK(fleet.keepers[3]->freshness(fleet.now) == Freshness::Current);
}

} // namespace coriandergate::config
