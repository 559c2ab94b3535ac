// Replays of loads in which client accounts compete for the slots of one target.
#include "dispatch/SlotQueue.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <limits>
#include <map>
#include <queue>
#include <random>

namespace coriandergate::dispatch {

using namespace std::chrono_literals;
using Decision = SlotQueue::Decision;
using std::chrono::milliseconds;

namespace {

    constexpr std::size_t slots = 6;
    constexpr auto meanServiceTime = 400ms;
    constexpr double capacityPerSecond = slots / 0.4; // 0.4 is the mean service time in seconds
    constexpr auto length = 60s;
    constexpr auto deadline = 3s;
    constexpr int pastTargetLatencyPenalty = 100; // as SlotReservations adds

    auto at(milliseconds time) -> MonotonicTime { return MonotonicTime(time); }

    struct Source {
        std::string account;
        double perSecond = 0;
        int priority = 0;
        double weight = 1;
    };

    struct Served {
        double requests = 0;
        double inTime = 0; // within the target latency
        double late = 0; // by the deadline

        [[nodiscard]] auto inTimeShare() const -> double { return requests > 0 ? inTime / requests : 0; }
    };

    // Replay offers the requests of all sources to one target. A request that finds no slot in time asks once more, to
    // be served by its deadline behind all that can be in time, as entries do.
    class Replay {
    public:
        Replay(std::vector<Source> sources, milliseconds targetLatency, bool isFair, std::uint32_t seed)
            : m_sources(std::move(sources))
            , m_targetLatency(targetLatency)
            , m_isFair(isFair)
            , m_random(seed)
            , m_served(m_sources.size())
        {
        }

        auto run() -> std::vector<Served>
        {
            for (std::size_t source = 0; source < m_sources.size(); ++source)
                addArrivals(source);
            std::sort(m_requests.begin(), m_requests.end(),
                [](const Request& left, const Request& right) { return left.arrival < right.arrival; });
            for (std::size_t number = 0; number < m_requests.size(); ++number) {
                runUntil(m_requests[number].arrival);
                reserve(number, m_requests[number].arrival);
            }
            runUntil(at(length + 1h));
            return m_served;
        }

    private:
        struct Request {
            std::size_t source = 0;
            MonotonicTime arrival;
            milliseconds serviceTime { 0 };
            bool isPastTargetLatency = false;
        };
        struct End {
            MonotonicTime at;
            std::size_t request = 0;

            friend auto operator<(const End& left, const End& right) -> bool { return left.at > right.at; }
        };

        auto addArrivals(std::size_t source) -> void
        {
            std::exponential_distribution<double> gap(m_sources[source].perSecond);
            std::uniform_int_distribution<int> serviceTime(300, 500);
            for (double time = gap(m_random); time < std::chrono::duration<double>(length).count();
                 time += gap(m_random)) {
                m_requests.push_back({ source, at(milliseconds(static_cast<int>(time * 1000))),
                    milliseconds(serviceTime(m_random)), false });
                m_served[source].requests += 1;
            }
        }

        auto reserve(std::size_t number, MonotonicTime now) -> void
        {
            const auto& request = m_requests[number];
            const auto& source = m_sources[request.source];
            const auto limit = request.isPastTargetLatency ? milliseconds(deadline) : m_targetLatency;
            const auto decision = m_queue.reserve(
                { .ticket = number,
                    .priority = source.priority + (request.isPastTargetLatency ? pastTargetLatencyPenalty : 0),
                    .startDeadline = request.arrival + limit - m_queue.meanServiceTime(),
                    .clientAccount = m_isFair ? source.account : "",
                    .accountWeight = source.weight },
                now);
            if (decision == Decision::Granted)
                m_running.push({ now + request.serviceTime, number });
            for (const auto evicted : m_queue.takeEvicted())
                refuse(evicted, now);
            if (decision == Decision::Refused)
                refuse(number, now);
        }

        auto refuse(std::size_t number, MonotonicTime now) -> void
        {
            if (!std::exchange(m_requests[number].isPastTargetLatency, true))
                reserve(number, now);
        }

        auto runUntil(MonotonicTime time) -> void
        {
            while (!m_running.empty() && m_running.top().at <= time) {
                const auto [end, number] = m_running.top();
                m_running.pop();
                const auto& request = m_requests[number];
                m_queue.release(request.serviceTime, number);
                auto& served = m_served[request.source];
                if (end - request.arrival <= m_targetLatency)
                    served.inTime += 1;
                else if (end - request.arrival <= deadline)
                    served.late += 1;
                for (const auto expired : m_queue.removeExpired(end))
                    refuse(expired, end);
                while (const auto next = m_queue.grantNext(end))
                    m_running.push({ end + m_requests[*next].serviceTime, *next });
            }
        }

        std::vector<Source> m_sources;
        milliseconds m_targetLatency;
        bool m_isFair;
        std::mt19937 m_random;
        std::vector<Served> m_served;
        SlotQueue m_queue { { .slots = slots, .initialServiceTime = meanServiceTime } };
        std::vector<Request> m_requests; // a ticket is an index
        std::priority_queue<End> m_running;
    };

    auto runSeeds(const std::vector<Source>& sources, milliseconds targetLatency, bool isFair) -> std::vector<Served>
    {
        std::vector<Served> sum(sources.size());
        for (std::uint32_t seed = 1; seed <= 5; ++seed) {
            const auto served = Replay(sources, targetLatency, isFair, seed).run();
            for (std::size_t i = 0; i < sum.size(); ++i) {
                sum[i].requests += served[i].requests;
                sum[i].inTime += served[i].inTime;
                sum[i].late += served[i].late;
            }
        }
        return sum;
    }

    // The share of its requests that a max-min fair division of the capacity serves each source.
    auto maxMinShares(const std::vector<Source>& sources) -> std::vector<double>
    {
        std::vector<double> granted(sources.size());
        double left = capacityPerSecond;
        std::vector<std::size_t> open(sources.size());
        for (std::size_t i = 0; i < open.size(); ++i)
            open[i] = i;
        while (!open.empty()) {
            double weights = 0;
            for (const auto i : open)
                weights += sources[i].weight;
            const double level = left / weights;
            const auto isSatisfied
                = [&](std::size_t i) -> bool { return sources[i].perSecond <= level * sources[i].weight; };
            if (std::none_of(open.begin(), open.end(), isSatisfied)) {
                for (const auto i : open)
                    granted[i] = level * sources[i].weight / sources[i].perSecond;
                break;
            }
            for (const auto i : open) {
                if (!isSatisfied(i))
                    continue;
                granted[i] = 1;
                left -= sources[i].perSecond;
            }
            std::erase_if(open, isSatisfied);
        }
        return granted;
    }

    auto smallAccounts(double perSecond) -> std::vector<Source>
    {
        std::vector<Source> sources;
        for (int number = 0; number < 8; ++number)
            sources.push_back({ .account = "small-" + std::to_string(number), .perSecond = perSecond });
        return sources;
    }

    auto inTimeShare(const std::vector<Served>& served, std::size_t first, std::size_t last) -> double
    {
        Served sum;
        for (auto i = first; i < last; ++i) {
            sum.requests += served[i].requests;
            sum.inTime += served[i].inTime;
        }
        return sum.inTimeShare();
    }

} // namespace

// Load pattern: one account sends 5 to 7.5 times as much as usual.
TEST_CASE("an account far above its usual load hardly takes service from accounts within their shares")
{
    const auto targetLatency = GENERATE(1200ms, 1500ms, 2000ms);
    const auto factor = GENERATE(5.0, 7.5);
    constexpr double usual = 0.85 * capacityPerSecond / 9; // of nine accounts, which then use 0.85 of the capacity
    const auto small = smallAccounts(usual);
    auto all = small;
    all.push_back({ .account = "hot", .perSecond = factor * usual });
    const auto without = inTimeShare(runSeeds(small, targetLatency, true), 0, small.size());
    const auto served = runSeeds(all, targetLatency, true);
    const auto naive = runSeeds(all, targetLatency, false);
    const auto fair = inTimeShare(served, 0, small.size());
    const auto naiveFair = inTimeShare(naive, 0, small.size());
    const auto hot = inTimeShare(served, small.size(), all.size());
    const auto best = maxMinShares(all);
    INFO("target latency " << targetLatency.count() << " ms, " << factor << " times: others without " << without
                           << ", with " << fair << ", by deadline " << naiveFair << ", best " << best.front()
                           << "; hot " << hot << ", by deadline " << inTimeShare(naive, small.size(), all.size())
                           << ", best " << best.back());
    CHECK(best.front() == 1);
    CHECK(without - fair <= 0.05);
    CHECK(without - naiveFair > 0.15);
    // What the others leave goes to the hot account.
    CHECK(hot >= 0.85 * best.back());
    for (std::size_t i = 0; i < small.size(); ++i)
        CHECK(served[i].inTimeShare() >= without - 0.1);
}

// Load pattern: all accounts together send more than the target can serve.
TEST_CASE("under overload by all accounts each gets the max-min fair share of its weight")
{
    auto all = smallAccounts(3);
    for (std::size_t i = 0; i < all.size(); i += 2)
        all[i].weight = 2;
    all.push_back({ .account = "hot", .perSecond = 15, .weight = 2 });
    const auto served = runSeeds(all, 1500ms, true);
    const auto best = maxMinShares(all);
    for (std::size_t i = 0; i < all.size(); ++i) {
        INFO(all[i].account << ": " << served[i].inTimeShare() << ", best " << best[i]);
        CHECK(served[i].inTimeShare() >= 0.8 * best[i]);
    }
}

// Load pattern: low-priority requests crowding out high-priority ones, and an account that sends the most at each.
TEST_CASE("a higher priority is never served less than a lower one, whichever accounts send it")
{
    const auto hotPriority = GENERATE(0, 1, 2);
    std::vector<Source> all;
    for (auto source : smallAccounts(1.5)) {
        source.priority = static_cast<int>(all.size() % 3);
        all.push_back(source);
    }
    all.push_back({ .account = "hot", .perSecond = 11, .priority = hotPriority });
    const auto served = runSeeds(all, 1500ms, true);
    std::map<int, Served> byPriority;
    for (std::size_t i = 0; i < all.size(); ++i) {
        auto& sum = byPriority[all[i].priority];
        // Requests of the hot account beyond its share are refused for fairness, whatever their priority.
        if (all[i].account == "hot")
            continue;
        sum.requests += served[i].requests;
        sum.inTime += served[i].inTime;
    }
    CHECK(byPriority[0].inTimeShare() >= byPriority[1].inTimeShare() - 0.01);
    CHECK(byPriority[1].inTimeShare() >= byPriority[2].inTimeShare() - 0.01);
    CHECK(byPriority[0].inTimeShare() > 0.9);
}

// Load pattern: an account with many callers of few requests each against an account with one caller.
TEST_CASE("the number of an account's callers doesn't change its share")
{
    std::vector<Source> all { { .account = "one-caller", .perSecond = 20 } };
    for (int caller = 0; caller < 40; ++caller)
        all.push_back({ .account = "many-callers", .perSecond = 0.5 });
    const auto served = runSeeds(all, 1500ms, true);
    const auto one = inTimeShare(served, 0, 1);
    const auto many = inTimeShare(served, 1, all.size());
    INFO("one caller " << one << ", many " << many);
    CHECK(std::abs(one - many) <= 0.05);
}

TEST_CASE("calls of targets go before requests of accounts at their priority, and after those of a higher one")
{
    SlotQueue queue({ .slots = 1, .initialServiceTime = 10ms });
    CHECK(queue.reserve({ .ticket = 1 }, at(0ms)) == Decision::Granted);
    const auto late = at(5000ms);
    CHECK(queue.reserve({ .ticket = 2, .priority = 1, .startDeadline = late, .clientAccount = "a" }, at(0ms))
        == Decision::Queued);
    CHECK(queue.reserve({ .ticket = 3, .priority = 1, .startDeadline = late }, at(0ms)) == Decision::Queued);
    CHECK(queue.reserve({ .ticket = 4, .priority = 0, .startDeadline = late, .clientAccount = "a" }, at(0ms))
        == Decision::Queued);
    std::vector<SlotQueue::Ticket> order;
    for (int i = 0; i < 3; ++i) {
        queue.release(10ms);
        order.push_back(*queue.grantNext(at(100ms)));
    }
    CHECK(order == std::vector<SlotQueue::Ticket> { 4, 3, 2 });
}

TEST_CASE("a request of an account within its share isn't refused because of another account's queue")
{
    SlotQueue queue({ .slots = 1, .initialServiceTime = 100ms });
    CHECK(
        queue.reserve({ .ticket = 0, .startDeadline = at(0ms), .clientAccount = "hot" }, at(0ms)) == Decision::Granted);
    for (SlotQueue::Ticket ticket = 1; ticket <= 10; ++ticket)
        CHECK(queue.reserve({ .ticket = ticket, .startDeadline = at(1000ms), .clientAccount = "hot" }, at(0ms))
            == Decision::Queued);
    CHECK(queue.reserve({ .ticket = 11, .startDeadline = at(1000ms), .clientAccount = "hot" }, at(0ms))
        == Decision::Refused);
    CHECK(queue.takeEvicted().empty());
    // It goes before most of them, the last of which can then no longer start in time.
    CHECK(queue.reserve({ .ticket = 12, .startDeadline = at(300ms), .clientAccount = "small" }, at(0ms))
        == Decision::Queued);
    CHECK(queue.takeEvicted() == std::vector<SlotQueue::Ticket> { 10 });
    CHECK(queue.waitingAccounts() == 2);
    queue.release(100ms, 0);
    CHECK(queue.grantNext(at(100ms)) == 1);
    queue.release(100ms, 1);
    CHECK(queue.grantNext(at(200ms)) == 12);
}

TEST_CASE("in a full queue the account with the most requests for its weight gives way to others, not to itself")
{
    SlotQueue queue({ .slots = 1, .maximumQueueLength = 4, .initialServiceTime = 1ms });
    const auto reserve = [&queue](SlotQueue::Ticket ticket, const char* account, double weight, int priority = 0) {
        return queue.reserve({ .ticket = ticket,
                                 .priority = priority,
                                 .startDeadline = at(10s),
                                 .clientAccount = account,
                                 .accountWeight = weight },
            at(0ms));
    };
    CHECK(reserve(0, "heavy", 3) == Decision::Granted);
    for (SlotQueue::Ticket ticket = 1; ticket <= 2; ++ticket)
        CHECK(reserve(ticket, "heavy", 3) == Decision::Queued);
    for (SlotQueue::Ticket ticket = 3; ticket <= 4; ++ticket)
        CHECK(reserve(ticket, "light", 1) == Decision::Queued);
    CHECK(reserve(5, "light", 1) == Decision::Refused);
    CHECK(reserve(6, "third", 1) == Decision::Queued);
    CHECK(queue.takeEvicted() == std::vector<SlotQueue::Ticket> { 4 });
    CHECK(reserve(7, "third", 1, 1) == Decision::Refused); // a lower priority displaces nobody
    CHECK(queue.reserve({ .ticket = 8, .startDeadline = at(10s) }, at(0ms)) == Decision::Refused);
    CHECK(queue.load().waiting == 4);
}

} // namespace coriandergate::dispatch
