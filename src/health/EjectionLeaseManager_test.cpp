#include "health/EjectionLeaseManager.h"

#include "base/Error.h"
#include "health/EjectionLease.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <queue>
#include <random>
#include <vector>

using namespace coriandergate;
using namespace coriandergate::health;
using namespace std::chrono_literals;

namespace {

constexpr auto targetCount = 10;
constexpr auto slotsPerTarget = 6;

// Simulates a fleet in which one daemon after another becomes leader. A former leader may go on acting after its term
// ends, and any message may be lost, duplicated or delayed by up to 8 s. Every target keeps requesting ejection leases.
class Fleet {
public:
    explicit Fleet(unsigned seed)
        : m_random(seed)
    {
        replaceLeader();
    }

    // run() returns the lowest number of slots in service at any time.
    auto run() -> int
    {
        auto lowestSlotsInService = targetCount * slotsPerTarget;
        for (; m_now < MonotonicTime() + 120s; m_now += 50ms) {
            if (m_now >= m_leadershipUntil && drawBelow(20) == 0)
                replaceLeader();
            else if (m_now < m_leadershipUntil && drawBelow(40) == 0)
                m_leadershipUntil = std::max(m_leadershipUntil, m_now + 5s);
            for (auto target = 0; target < targetCount; ++target)
                sendRequest(target);
            deliverMessages();
            lowestSlotsInService = std::min(lowestSlotsInService, slotsInService());
        }
        return lowestSlotsInService;
    }

    auto grantCount() const -> int { return m_grantCount; }

private:
    struct Message {
        MonotonicTime deliveredAt;
        int target;
        std::uint64_t sequence;
        std::size_t leaderIndex;
        bool isResponse;
        MonotonicTime sentAt;

        // The queue takes the largest element first, which is the message delivered earliest.
        auto operator<(const Message& other) const -> bool { return deliveredAt > other.deliveredAt; }
    };

    // drawBelow() is a random number from 0 to n - 1, so that `drawBelow(n) == 0` holds once in n calls on average.
    auto drawBelow(int n) -> int { return static_cast<int>(m_random() % static_cast<unsigned>(n)); }

    auto replaceLeader() -> void
    {
        m_leadershipUntil = m_now + 5s;
        m_leaders.push_back(
            std::make_unique<EjectionLeaseManager>(EjectionLeaseManager::Options { .healthyFloor = 0.7 }, m_now));
        m_leadershipExpiries.push_back(m_leadershipUntil);
        // A new leader knows only some of the targets.
        for (auto target = 0; target < targetCount; ++target)
            if (drawBelow(4) != 0)
                m_leaders.back()->updateTarget(std::to_string(target), { slotsPerTarget, true });
    }

    auto sendRequest(int target) -> void
    {
        if (drawBelow(10) != 0)
            return;
        auto& lease = m_leases[static_cast<std::size_t>(target)];
        const auto sequence = ++m_lastSequence[static_cast<std::size_t>(target)];
        lease.recordReportSent(sequence, m_now);
        if (drawBelow(20) == 0)
            lease.release();
        // One request in three goes to a leader drawn at random, which may be a former one.
        sendMessage({ m_now, target, sequence,
            drawBelow(3) == 0 ? static_cast<std::size_t>(drawBelow(int(m_leaders.size()))) : m_leaders.size() - 1,
            false, m_now });
    }

    auto sendMessage(Message message) -> void
    {
        for (auto copies = drawBelow(8) == 0 ? drawBelow(3) : 1; copies > 0; --copies) {
            message.deliveredAt
                = m_now + std::chrono::milliseconds(drawBelow(10) == 0 ? drawBelow(8000) : drawBelow(100));
            m_messages.push(message);
        }
    }

    auto deliverMessages() -> void
    {
        while (!m_messages.empty() && m_messages.top().deliveredAt <= m_now) {
            auto message = m_messages.top();
            m_messages.pop();
            const auto target = static_cast<std::size_t>(message.target);
            if (message.isResponse) {
                m_leases[target].accept(message.sequence, 4000ms);
                continue;
            }
            m_leadershipExpiries.back() = m_leadershipUntil;
            Error reason;
            if (m_leaders[message.leaderIndex]->request(
                    std::to_string(target), m_leadershipExpiries[message.leaderIndex], m_now, reason)) {
                ++m_grantCount;
                message.isResponse = true;
                sendMessage(message);
            }
        }
    }

    auto slotsInService() const -> int
    {
        const auto isEjected = [this](const EjectionLease& lease) { return lease.isHeld(m_now); };
        return slotsPerTarget * (targetCount - static_cast<int>(std::ranges::count_if(m_leases, isEjected)));
    }

    std::mt19937 m_random;
    MonotonicTime m_now {};
    MonotonicTime m_leadershipUntil {};
    std::vector<std::unique_ptr<EjectionLeaseManager>> m_leaders;
    std::vector<MonotonicTime> m_leadershipExpiries;
    std::array<EjectionLease, targetCount> m_leases;
    std::array<std::uint64_t, targetCount> m_lastSequence {};
    std::priority_queue<Message> m_messages;
    int m_grantCount = 0;
};

}

TEST_CASE("ejections keep healthy capacity above the floor across leader changes and lost, duplicated or late messages")
{
    auto grantCount = 0;
    for (auto seed = 1U; seed <= 60; ++seed) {
        Fleet fleet(seed);
        CAPTURE(seed);
        CHECK(fleet.run() >= 0.7 * targetCount * slotsPerTarget);
        grantCount += fleet.grantCount();
    }
    CHECK(grantCount > 1000);
}

TEST_CASE("capacity that is not serving counts towards the floor but not as healthy capacity")
{
    EjectionLeaseManager leases({ .healthyFloor = 0.7 }, {});
    for (auto i = 0; i < 10; ++i)
        leases.updateTarget(std::to_string(i), { slotsPerTarget, i >= 2 });
    const auto now = MonotonicTime() + 10s;
    Error reason;
    CHECK(leases.request("0", now + 1s, now, reason)); // was not serving anyway
    CHECK(leases.request("5", now + 1s, now, reason));
    CHECK_FALSE(leases.request("6", now + 1s, now, reason));
    CHECK(reason.reason == "healthy capacity would fall below the floor");
    CHECK_FALSE(leases.request("5", now, now, reason));
    CHECK(leases.healthySlots(now) == 7 * slotsPerTarget);
    CHECK(leases.healthySlots(now + 6s) == 8 * slotsPerTarget);
}
