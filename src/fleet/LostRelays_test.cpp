// Guards against hosts that go by an older configuration for too long because other hosts, which they get it from, end,
// lose power, are cut off or turn slow.
#include "testing/FleetSimulation.h"
#include "testing/StoreOutage.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <utility>
#include <vector>

namespace coriandergate::fleet {

using namespace std::chrono_literals;

using std::chrono::milliseconds;
using testing::drawDuration;
using testing::FleetSimulation;

namespace {

    using Random = std::mt19937_64;

    // What a platform asks for: a configuration is in force everywhere so long after its acknowledgement, on hosts that
    // have been calm for so long.
    struct Bounds {
        milliseconds configuration;
        milliseconds calm;
    };

    // Faults draws what happens to some hosts, and knows since when each host has been calm.
    class Faults {
    public:
        Faults(FleetSimulation& fleet, Random& random)
            : m_fleet(fleet)
            , m_random(random)
            , m_lastFaultAt(fleet.hostCount(), -1h)
            , m_kind(random() % 6)
        {
        }

        // Something happens to a few hosts, more often to relays.
        auto strike(milliseconds now) -> void
        {
            const auto watching = m_fleet.hostsWatchingConfiguration();
            std::vector<std::size_t> hosts(watching.begin(), watching.end());
            const auto others = m_random() % (1 + m_fleet.hostCount() / 3);
            for (std::size_t i = 0; i < others; ++i)
                hosts.push_back(m_random() % m_fleet.hostCount());
            const auto kind = m_random() % 4 == 0 ? m_random() % 6 : m_kind;
            for (const auto host : hosts) {
                if (m_random() % 4 != 0)
                    strike(host, kind, now);
            }
        }

        auto beginOutage() -> void
        {
            m_isOutage = true;
            testing::beginOutage(m_fleet, m_random);
        }

        // All impaired hosts recover, and ended ones start again.
        auto heal(milliseconds now) -> void
        {
            if (std::exchange(m_isOutage, false)) {
                testing::endOutage(m_fleet);
                std::fill(m_lastFaultAt.begin(), m_lastFaultAt.end(), now);
            }
            for (const auto host : m_impaired) {
                m_fleet.setImpairment(host, {});
                m_lastFaultAt[host] = now;
            }
            m_impaired.clear();
            m_fleet.startAll();
        }

        [[nodiscard]] auto isCalm(std::size_t host, milliseconds now, milliseconds calmTime) const -> bool
        {
            return !m_isOutage && now - m_lastFaultAt[host] >= calmTime
                && std::find(m_impaired.begin(), m_impaired.end(), host) == m_impaired.end();
        }

    private:
        auto strike(std::size_t host, std::uint64_t kind, milliseconds now) -> void
        {
            m_lastFaultAt[host] = now;
            m_impaired.push_back(host);
            const auto isStruck = [host](std::size_t other) { return other == host; };
            switch (kind) {
            case 0:
                m_fleet.stop(isStruck);
                return;
            case 1:
                m_fleet.powerOff(isStruck);
                return;
            case 2:
                m_fleet.setImpairment(host, { .isCutFromHosts = true, .isCutFromStore = true });
                return;
            case 3:
                m_fleet.setImpairment(host, { .isCutFromStore = true });
                return;
            case 4:
                m_fleet.setImpairment(host, { .isCutFromHosts = true });
                return;
            default:
                m_fleet.setImpairment(host, { .messageDelay = drawDuration(m_random, 200ms, 1500ms) });
            }
        }

        FleetSimulation& m_fleet;
        Random& m_random;
        std::vector<milliseconds> m_lastFaultAt;
        std::uint64_t m_kind; // of all faults, most often
        std::vector<std::size_t> m_impaired;
        bool m_isOutage = false;
    };

    auto checkRounds(const Bounds& bounds, unsigned seed, bool hasOutages) -> void
    {
        Random random(seed);
        const std::size_t sizes[] = { 4, 10, 14, 24, 34, 60 };
        const auto hosts = sizes[random() % std::size(sizes)];
        FleetSimulation fleet({ .hosts = hosts, .dataCentresPerRegion = 1 + random() % 2, .seed = seed });
        Faults faults(fleet, random);
        milliseconds now { 0 };
        const auto pass = [&](milliseconds time) {
            fleet.runFor(time);
            now += time;
        };
        fleet.startAll();
        pass(8s + drawDuration(random, 0ms, 2000ms));
        for (int round = 0; round < 6; ++round) {
            CAPTURE(seed, hosts, round, bounds.configuration.count());
            const auto strikes = 1 + random() % 3;
            for (std::size_t i = 0; i < strikes; ++i) {
                if (hasOutages && random() % 4 == 0)
                    faults.beginOutage();
                faults.strike(now);
                pass(drawDuration(random, 0ms, 1500ms));
            }
            fleet.configure();
            const auto configuredAt = now;
            if (random() % 2 == 0) {
                pass(drawDuration(random, 0ms, bounds.configuration));
                faults.strike(now);
            }
            pass(configuredAt + bounds.configuration - now);
            std::size_t late = 0;
            for (std::size_t host = 0; host < hosts; ++host)
                late += faults.isCalm(host, now, bounds.calm) && fleet.knowsOlderConfiguration(host) ? 1 : 0;
            CHECK(late == 0);
            if (random() % 2 == 0) {
                faults.heal(now);
                pass(drawDuration(random, 500ms, 5000ms));
            }
        }
    }

} // namespace

TEST_CASE("a configuration is in force in time on calm hosts while other hosts fail")
{
    const unsigned seed = GENERATE(range(1U, 301U), 417U, 988U);
    checkRounds({ 2500ms, 3000ms }, seed, false);
}

TEST_CASE("a configuration is in force in time on calm hosts while other hosts fail, by longer bounds")
{
    const unsigned seed = GENERATE(range(1U, 301U), 417U, 988U);
    checkRounds({ 3000ms, 4000ms }, seed, false);
}

TEST_CASE("a configuration is in force in time on calm hosts while others fail beside outages of the store")
{
    const auto bounds = GENERATE(Bounds { 2500ms, 3000ms }, Bounds { 3000ms, 4000ms });
    const unsigned seed = GENERATE(range(1U, 151U), 1126U);
    checkRounds(bounds, seed, true);
}

} // namespace coriandergate::fleet
