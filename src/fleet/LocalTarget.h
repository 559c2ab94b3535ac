// Tracks the target on this daemon's host by its heartbeats: which incarnation is running and whether it is draining.
//
// Heartbeats may arrive late, twice, from an incarnation that has crashed, or from a process that isn't the target.
//
//   LocalTarget target("ledger", "10.1.0.11:8363");
//   switch (target.receive(heartbeat, reason)) { ... }
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace coriandergate {
struct Error;
}

namespace coriandergate::fleet {

// Heartbeat is a target's periodic report. Only the types of its fields have been checked.
struct Heartbeat {
    std::string id;
    std::string service;
    std::string address;
    std::uint64_t startedAt = 0; // milliseconds since 1970; increases with each incarnation
    std::uint64_t sequence = 0; // increases within an incarnation
    std::size_t slots = 1;
    bool isDraining = false;
    std::optional<std::chrono::milliseconds> coldRemaining; // 0 for a warm target; nothing if it doesn't tell
};

// LocalTarget is a value; not thread-safe.
class LocalTarget {
public:
    enum class HeartbeatResult {
        Unchanged,
        Changed, // the incarnation, its drain state or its slots differ from the last heartbeat
        Stale, // from an earlier incarnation, or older than a heartbeat already processed
        Rejected, // not from the target of this host
    };

    LocalTarget(std::string service, std::string address)
        : m_service(std::move(service))
        , m_address(std::move(address))
    {
    }

    // receive() processes a heartbeat; `reason` says why one is Rejected.
    [[nodiscard]] auto receive(const Heartbeat& heartbeat, Error& reason) -> HeartbeatResult;

    enum class DeregistrationResult {
        // The running target drains from now on. One that started after it has replaced it, even if its heartbeats are
        // late.
        CurrentTarget,
        NoHeartbeatYet, // recorded, so that a late heartbeat of that target won't report it as serving
        // From an earlier target or incarnation than the current one, which keeps its state; before any heartbeat, from
        // an earlier one than the stored one.
        OtherTarget,
        // Without a start time, from another target than the current or stored one. It isn't recorded and must not be
        // acknowledged.
        UnknownOrder,
    };

    // deregister() processes a target's deregistration; `startedAt` is 0 if the target didn't send it. The latest one
    // is kept, in whatever order they arrive.
    [[nodiscard]] auto deregister(const std::string& id, std::uint64_t startedAt) -> DeregistrationResult;

    // restoreFromStore() takes over the target that an earlier daemon of this host stored: a draining target stays
    // draining, and a deregistration without a start time applies to the stored incarnation.
    auto restoreFromStore(const std::string& id, std::uint64_t startedAt, bool isDraining) -> void;

    // current() is the running target; nothing before the first heartbeat.
    [[nodiscard]] auto current() const -> const std::optional<Heartbeat>& { return m_current; }
    [[nodiscard]] auto isServing() const -> bool { return m_current && !m_current->isDraining; }
    [[nodiscard]] auto address() const -> const std::string& { return m_address; }
    [[nodiscard]] auto service() const -> const std::string& { return m_service; }

    // Incarnation identifies one run of a target.
    struct Incarnation {
        std::string id;
        std::uint64_t startedAt = 0; // milliseconds since 1970; the maximum value stands for any incarnation of that id
    };

    // deregistered() is the latest incarnation that deregistered, at this daemon or at an earlier one of this host.
    [[nodiscard]] auto deregistered() const -> std::optional<Incarnation>;

private:
    [[nodiscard]] auto hasDeregistered(const Heartbeat& heartbeat) const -> bool;
    auto recordDeregistered(Incarnation incarnation) -> void;
    [[nodiscard]] auto deregisterBeforeHeartbeat(const std::string& id, std::uint64_t startedAt)
        -> DeregistrationResult;

    std::string m_service;
    std::string m_address;
    std::optional<Heartbeat> m_current;
    std::optional<Incarnation> m_deregistered; // the one that started last
    std::optional<std::string> m_deregisteredId; // of a target whose start time is unknown
    std::optional<Incarnation> m_storedTarget; // in this host's row in the store, draining or not
};

} // namespace coriandergate::fleet
