#include "health/EjectionPermits.h"

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
constexpr auto slots = 6;

// Several daemons in turn believe that they hold the seat, for longer than they may when paused; every message may be
// lost, doubled and late by up to 8 s; every target asks for a permit again and again.
class Fleet {
public:
    explicit Fleet(unsigned seed)
        : m_random(seed)
    {
        takeSeatOver();
    }

    auto run() -> int
    {
        auto lowest = targetCount * slots;
        for (; m_now < MonotonicTime() + 120s; m_now += 50ms) {
            if (m_now >= m_seatUntil && draw(20) == 0)
                takeSeatOver();
            else if (m_now < m_seatUntil && draw(40) == 0)
                m_seatUntil = std::max(m_seatUntil, m_now + 5s);
            for (auto target = 0; target < targetCount; ++target)
                ask(target);
            deliver();
            lowest = std::min(lowest, inService());
        }
        return lowest;
    }

    auto grants() const -> int { return m_grants; }

private:
    struct Message {
        MonotonicTime at;
        int target;
        std::uint64_t sequence;
        std::size_t holder;
        bool isAnswer;
        MonotonicTime sent;
        auto operator<(const Message& other) const -> bool { return at > other.at; }
    };

    auto draw(int n) -> int { return static_cast<int>(m_random() % static_cast<unsigned>(n)); }

    auto takeSeatOver() -> void
    {
        m_seatUntil = m_now + 5s;
        m_holders.push_back(std::make_unique<EjectionPermits>(EjectionPermits::Options { .healthyFloor = 0.7 }, m_now));
        m_seats.push_back(m_seatUntil);
        // A new holder knows only some of the targets.
        for (auto target = 0; target < targetCount; ++target)
            if (draw(4) != 0)
                m_holders.back()->updateTarget(std::to_string(target), { slots, true });
    }

    auto ask(int target) -> void
    {
        if (draw(10) != 0)
            return;
        auto& lease = m_leases[static_cast<std::size_t>(target)];
        const auto sequence = ++m_sequence[static_cast<std::size_t>(target)];
        lease.recordReportSent(sequence, m_now);
        if (draw(20) == 0)
            lease.release();
        post({ m_now, target, sequence,
            draw(3) == 0 ? static_cast<std::size_t>(draw(int(m_holders.size()))) : m_holders.size() - 1, false,
            m_now });
    }

    auto post(Message message) -> void
    {
        for (auto copies = draw(8) == 0 ? draw(3) : 1; copies > 0; --copies) {
            message.at = m_now + std::chrono::milliseconds(draw(10) == 0 ? draw(8000) : draw(100));
            m_messages.push(message);
        }
    }

    auto deliver() -> void
    {
        while (!m_messages.empty() && m_messages.top().at <= m_now) {
            auto message = m_messages.top();
            m_messages.pop();
            const auto target = static_cast<std::size_t>(message.target);
            if (message.isAnswer) {
                m_leases[target].accept(message.sequence, 4000ms);
                continue;
            }
            m_seats.back() = m_seatUntil;
            Error reason;
            if (m_holders[message.holder]->request(std::to_string(target), m_seats[message.holder], m_now, reason)) {
                ++m_grants;
                message.isAnswer = true;
                post(message);
            }
        }
    }

    auto inService() const -> int
    {
        const auto isOut = [this](const EjectionLease& lease) { return lease.isHeld(m_now); };
        return slots * (targetCount - static_cast<int>(std::ranges::count_if(m_leases, isOut)));
    }

    std::mt19937 m_random;
    MonotonicTime m_now {};
    MonotonicTime m_seatUntil {};
    std::vector<std::unique_ptr<EjectionPermits>> m_holders;
    std::vector<MonotonicTime> m_seats;
    std::array<EjectionLease, targetCount> m_leases;
    std::array<std::uint64_t, targetCount> m_sequence {};
    std::priority_queue<Message> m_messages;
    int m_grants = 0;
};

}

TEST_CASE("ejections never take healthy capacity below the floor, whoever holds the seat and however messages travel")
{
    auto grants = 0;
    for (auto seed = 1U; seed <= 60; ++seed) {
        Fleet fleet(seed);
        CAPTURE(seed);
        CHECK(fleet.run() >= 0.7 * targetCount * slots);
        grants += fleet.grants();
    }
    CHECK(grants > 1000);
}

TEST_CASE("capacity that does not serve counts for the floor and not for what is left")
{
    EjectionPermits permits({ .healthyFloor = 0.7 }, {});
    for (auto i = 0; i < 10; ++i)
        permits.updateTarget(std::to_string(i), { slots, i >= 2 });
    const auto now = MonotonicTime() + 10s;
    Error reason;
    CHECK(permits.request("0", now + 1s, now, reason)); // takes nothing away
    CHECK(permits.request("5", now + 1s, now, reason));
    CHECK_FALSE(permits.request("6", now + 1s, now, reason));
    CHECK(reason.reason == "healthy capacity would fall below the floor");
    CHECK_FALSE(permits.request("5", now, now, reason));
    CHECK(permits.healthySlots(now) == 7 * slots);
    CHECK(permits.healthySlots(now + 6s) == 8 * slots);
}
