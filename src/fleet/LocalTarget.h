// The target beside this daemon, as its own heartbeats tell: which incarnation lives, and whether it leaves.
//
// Heartbeats may come late, twice, from an incarnation that has crashed, or from a writer that isn't the target at all.
//
//   LocalTarget target("ledger", "10.1.0.11:8363");
//   switch (target.receive(heartbeat, reason)) { ... }
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace coriandergate {
struct Error;
}

namespace coriandergate::fleet {

// Heartbeat is what a target says of itself, checked for types only.
struct Heartbeat {
    std::string id;
    std::string service;
    std::string address;
    std::uint64_t startedAt = 0; // milliseconds since 1970; grows from one incarnation to the next
    std::uint64_t sequence = 0; // grows within an incarnation
    std::size_t slots = 1;
    bool isDraining = false;
};

// LocalTarget is a value; used by one thread.
class LocalTarget {
public:
    enum class HeartbeatResult {
        Unchanged,
        Changed, // the target or its state is another than before
        Stale, // of an earlier incarnation, or overtaken
        Foreign, // not of the target of this host
    };

    LocalTarget(std::string service, std::string address)
        : m_service(std::move(service))
        , m_address(std::move(address))
    {
    }

    // receive() takes a heartbeat; `reason` says why one is Foreign.
    [[nodiscard]] auto receive(const Heartbeat& heartbeat, Error& reason) -> HeartbeatResult;

    enum class Departure {
        Current, // the target that lives here leaves
        NotSeen, // no heartbeat has come yet; a late one of that target won't be believed
        Other, // of another target than the one that lives here, or an earlier one
    };

    // leave() takes a target's farewell, by its id and its start (0 when it isn't told).
    [[nodiscard]] auto leave(const std::string& id, std::uint64_t startedAt) -> Departure;

    // recall() takes over what an earlier daemon of this host had told the fleet: a leaving target stays one, and a
    // farewell that doesn't tell the target's start is taken for the one that was known.
    auto recall(const std::string& id, std::uint64_t startedAt, bool isDraining) -> void;

    // current() is the target that lives here; nothing before the first heartbeat.
    [[nodiscard]] auto current() const -> const std::optional<Heartbeat>& { return m_current; }
    [[nodiscard]] auto isServing() const -> bool { return m_current && !m_current->isDraining; }
    [[nodiscard]] auto address() const -> const std::string& { return m_address; }
    [[nodiscard]] auto service() const -> const std::string& { return m_service; }

    // Left is an incarnation that said farewell.
    struct Left {
        std::string id;
        std::uint64_t startedAt = 0; // the greatest number for whichever incarnation of that id
    };

    // left() is the target that said farewell last, here or to an earlier daemon of this host.
    [[nodiscard]] auto left() const -> const std::optional<Left>& { return m_left; }

private:
    std::string m_service;
    std::string m_address;
    std::optional<Heartbeat> m_current;
    std::optional<Left> m_left;
    std::optional<Left> m_recalled; // what the fleet knew of this host's target, leaving or not
};

} // namespace coriandergate::fleet
