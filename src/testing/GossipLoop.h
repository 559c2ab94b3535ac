// Drives GossipNode objects over a queue of messages that can delay, drop, reorder and cut, from one seed.
//
//   GossipLoop loop({ .nodes = 16, .dataCentres = 4, .regions = 2, .lossRate = 0.05, .seed = 7 });
//   loop.run(std::chrono::seconds(20));
//   loop.stop(3);
//   CHECK(loop.runUntil([&] { return loop.countBelieving(3, MemberState::Dead) == 15; }, std::chrono::seconds(30)));
#pragma once

#include "member/GossipNode.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <vector>

namespace coriandergate::testing {

// GossipLoop is not thread-safe; its time is its own.
class GossipLoop {
public:
    struct Options {
        std::size_t nodes = 16;
        std::size_t dataCentres = 1;
        std::size_t regions = 1;
        std::size_t seeds = 3; // nodes that every node knows from the start
        std::size_t targetsPerNode = 14;
        std::size_t services = 1100;
        double lossRate = 0; // of datagrams
        bool usesCodec = false; // messages are encoded and decoded on their way, not only measured
        std::uint64_t seed = 1;
    };
    struct Traffic {
        std::uint64_t messages = 0;
        std::uint64_t bytes = 0; // with the headers of IP and UDP, or an estimate of those of TCP and HTTP
        std::uint64_t farBytes = 0; // between regions
        std::uint64_t exchangeBytes = 0;
    };

    explicit GossipLoop(const Options& options);

    // run() lets `duration` pass. runUntil() lets time pass until `isDone` holds, looked at each `step`, and returns
    // the time that took; nothing when `limit` passed first.
    auto run(std::chrono::milliseconds duration) -> void;
    auto runUntil(const std::function<bool()>& isDone, std::chrono::milliseconds limit,
        std::chrono::milliseconds step = member::GossipNode::s_tickInterval)
        -> std::optional<std::chrono::milliseconds>;

    // stop() ends a node as SIGKILL would; start() starts it anew; pause() and resume() are SIGSTOP and SIGCONT.
    auto stop(std::size_t node) -> void;
    auto start(std::size_t node) -> void;
    auto pause(std::size_t node) -> void { m_slots[node].isPaused = true; }
    auto resume(std::size_t node) -> void;

    // cut() drops every message for which `isCut(from, to)` holds; an empty function heals.
    auto cut(std::function<bool(std::size_t, std::size_t)> isCut) -> void { m_isCut = std::move(isCut); }

    // announce() gives a node one more target, of service `name`.
    auto announce(std::size_t node, const std::string& name) -> void;

    // countBelieving() is how many running nodes other than `node` believe it to be in `state`.
    [[nodiscard]] auto countBelieving(std::size_t node, member::MemberState state) const -> std::size_t;

    // countKnowing() is how many running nodes know a target of service `name` behind `node`.
    [[nodiscard]] auto countKnowing(std::size_t node, const std::string& name) const -> std::size_t;

    // areViewsWhole() says that each running node believes exactly the running ones alive, with their newest profiles.
    [[nodiscard]] auto areViewsWhole() const -> bool;

    [[nodiscard]] auto node(std::size_t index) -> member::GossipNode& { return *m_slots[index].node; }
    [[nodiscard]] auto totals() const -> member::GossipNode::Counters;
    [[nodiscard]] auto traffic() const -> const Traffic& { return m_traffic; }
    [[nodiscard]] auto now() const -> MonotonicTime { return m_now; }

private:
    struct Slot {
        std::unique_ptr<member::GossipNode> node; // empty while stopped
        std::vector<member::RemoteTarget> targets;
        std::vector<std::shared_ptr<const member::GossipMessage>> waiting; // while paused
        std::uint64_t generation = 1;
        bool isPaused = false;
    };
    struct Event {
        MonotonicTime at;
        std::uint64_t order = 0;
        std::size_t to = 0;
        std::shared_ptr<const member::GossipMessage> message; // empty: a tick

        friend auto operator>(const Event& left, const Event& right) -> bool
        {
            return std::tie(left.at, left.order) > std::tie(right.at, right.order);
        }
    };

    auto push(Event event) -> void;
    auto handle(const Event& event) -> void;
    auto dispatch(std::size_t from, std::vector<member::GossipEnvelope> envelopes) -> void;
    [[nodiscard]] auto addressOf(std::size_t node) const -> std::string;
    [[nodiscard]] auto localityOf(std::size_t node) const -> Locality;
    [[nodiscard]] auto delay(std::size_t from, std::size_t to) -> MonotonicDuration;

    const Options m_options;
    std::vector<Slot> m_slots;
    std::unordered_map<std::string, std::size_t> m_indexByAddress;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::function<bool(std::size_t, std::size_t)> m_isCut;
    std::mt19937_64 m_random;
    MonotonicTime m_now { std::chrono::hours(1) };
    std::uint64_t m_order = 0;
    Traffic m_traffic;
};

} // namespace coriandergate::testing
