// Keeps this host's row in the store in sync with the state that its target reports.
//
// A drain is acknowledged to the target once the store has confirmed the row, so that a daemon which replaces this one
// knows that the target is draining. While the store doesn't respond, the target is asked to repeat its message.
//
//   HostRegistration registration(
//       io, store, target, directory, { .table = "hosts", .key = hostRowKey(region, address), .host = record });
//   registration.receive(deregistration, [exchange](bool isStored) { respond(exchange, isStored); });
#pragma once

#include "fleet/HostRecord.h"
#include "fleet/HostRowWriter.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <optional>
#include <string>

namespace coriandergate {
struct Error;
}

namespace coriandergate::fleet {

class HostDirectory;
class LocalTarget;
struct Deregistration;
struct Heartbeat;

// HostRegistration is used on the thread of its io_context. Target and directory outlive it.
class HostRegistration {
public:
    // Acknowledge is called once; false if the store hasn't confirmed the row and the target must repeat its message.
    using Acknowledge = std::function<void(bool isStored)>;
    using StoreClock = std::function<std::optional<std::chrono::milliseconds>()>;

    struct Options {
        std::string table;
        std::string key;
        // Key under which daemons of version 0.1.0 wrote the row of this host. That row is taken over and removed.
        std::string formerKey;
        HostRecord host; // the fields that don't depend on the target
        // After this time without a heartbeat the row of a new host is written without a target. Two periods of the
        // slowest heartbeat, so that the row is usually written once, with its target.
        std::chrono::milliseconds firstHeartbeatTimeout { 4000 };
        // Less than the second for which a target waits for the response to its message.
        std::chrono::milliseconds acknowledgementTimeout { 650 };
    };

    HostRegistration(boost::asio::io_context& io, StoreClient& store, LocalTarget& target,
        const HostDirectory& directory, Options options);

    // setStoreClock() sets the function that reads the store's clock, which gives the join time of a new host.
    auto setStoreClock(StoreClock storeClock) -> void { m_storeClock = std::move(storeClock); }
    // onTargetChanged() sets the callback for a change of the target or its state.
    auto onTargetChanged(std::function<void()> changed) -> void { m_targetChangedCallback = std::move(changed); }
    // onHeartbeat() sets the callback for each heartbeat that is newer than those before; for a change of the target it
    // is called after the other callback.
    auto onHeartbeat(std::function<void()> received) -> void { m_heartbeatCallback = std::move(received); }

    // receive() processes a message of the target. It returns false with a reason, and doesn't call `acknowledge`, for
    // a heartbeat that isn't from the target of this host.
    [[nodiscard]] auto receive(const Heartbeat& heartbeat, const Acknowledge& acknowledge, Error& reason) -> bool;
    auto receive(const Deregistration& deregistration, const Acknowledge& acknowledge) -> void;

    // onHostsLoaded() takes over the row that an earlier daemon of this host wrote. It is called once the directory has
    // been loaded.
    auto onHostsLoaded() -> void;
    // onHostsChanged() writes the row again if another host removed it, or if the restored store lacks it or has an
    // older one. It takes over a drain of the target that another daemon wrote again.
    auto onHostsChanged() -> void;

    // onStoreRestored() writes an acknowledged drain again at once, after the store came back from an older copy. Any
    // other row is compared first, at the next change of the hosts, which tells the row that the store has.
    auto onStoreRestored() -> void;

    // rowsWrittenAgain() is the number of writes for the last reason.
    [[nodiscard]] auto rowsWrittenAgain() const -> std::uint64_t { return m_rowsWrittenAgain; }

    // beginStop() marks the host as departed if its target is draining or deregistered, or as soon as it is, because
    // then the host is probably being shut down. The row stays, since the daemon may also be restarted alone.
    auto beginStop() -> void;

    auto stop() -> void;

private:
    [[nodiscard]] auto storedRecord() const -> std::optional<HostRecord>;
    auto removeFormerRow() -> void;
    [[nodiscard]] auto makeRecord() -> HostRecord;
    auto writeRow(HostRowWriter::StoredCallback stored) -> void;
    auto writeRowAgain() -> void;
    auto compareWithRestoredRow() -> void;
    auto takeOverDrain() -> void;
    auto acknowledgeWhenStored(const Acknowledge& acknowledge) -> void;
    [[nodiscard]] auto isDeregistrationStored(const std::optional<HostRecord>& stored) const -> bool;
    auto logTargetChange() const -> void;

    boost::asio::io_context& m_io;
    StoreClient& m_store;
    LocalTarget& m_target;
    const HostDirectory& m_directory;
    Options m_options;
    HostRowWriter m_rowWriter;
    StoreClock m_storeClock;
    std::function<void()> m_targetChangedCallback;
    std::function<void()> m_heartbeatCallback = [] {};
    boost::asio::steady_timer m_firstHeartbeatTimer;
    std::optional<std::chrono::milliseconds> m_joinedAt; // when this host first wrote its row, by the store's clock
    std::optional<std::chrono::milliseconds> m_departedAt; // when the row was first marked as departed
    std::uint64_t m_rowsWrittenAgain = 0;
    bool m_areHostsLoaded = false;
    bool m_mustCompareRow = false; // with that of the restored store
    bool m_isStopping = false;
};

} // namespace coriandergate::fleet
