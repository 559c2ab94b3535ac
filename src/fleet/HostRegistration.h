// Keeps what the fleet knows of this host in step with what its target says of itself.
//
// A target that leaves is told so once the store has the host's row, so that a daemon which takes this one's place
// knows it too. While the store doesn't answer, the target is asked to tell again.
//
//   HostRegistration registration(io, feed, target, directory, { .table = "hosts", .key = "10.1.0.11", .host = record
//   }); registration.receive(farewell, [exchange](bool isKept) { answer(exchange, isKept); });
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
    // Called once; false when what was said isn't known to be kept, and has to be told again.
    using Answered = std::function<void(bool isKept)>;
    using StoreTime = std::function<std::optional<std::chrono::milliseconds>()>;

    struct Options {
        std::string table;
        std::string key;
        HostRecord host; // without a target
        // Two periods of the slowest heartbeat: a host without a target tells so after this, so that mostly one row is
        // written.
        std::chrono::milliseconds firstHeartbeatTime { 4000 };
        // A target waits a second for its answer.
        std::chrono::milliseconds longestConfirmation { 650 };
    };

    HostRegistration(boost::asio::io_context& io, StoreClient& feed, LocalTarget& target,
        const HostDirectory& directory, Options options);

    // setStoreTime() tells how to know the store's clock, which dates a host that is new.
    auto setStoreTime(StoreTime storeTime) -> void { m_storeTime = std::move(storeTime); }
    // onTargetChanged() names what is called once the target or its state is another than before.
    auto onTargetChanged(std::function<void()> changed) -> void { m_targetChanged = std::move(changed); }

    // receive() takes what the target says. A heartbeat of something that isn't the target of this host is refused with
    // a reason, and `answered` isn't called.
    [[nodiscard]] auto receive(const Heartbeat& heartbeat, const Answered& answered, Error& reason) -> bool;
    auto receive(const Deregistration& farewell, const Answered& answered) -> void;

    // onHostsKnown() takes over what an earlier daemon of this host had told; the directory has just become known.
    auto onHostsKnown() -> void;
    // onHostsChanged() writes the row again if another host took it away.
    auto onHostsChanged() -> void;

    // retractIfLeft() removes the row of a host whose target has left: the host is going for good.
    auto retractIfLeft() -> void;

    auto stop() -> void;

private:
    [[nodiscard]] auto record() -> HostRecord;
    auto announce(HostRowWriter::Stored stored) -> void;
    auto answerWhenStored(const Answered& answered) -> void;
    [[nodiscard]] auto isLeftTold(const HostRecord* row) const -> bool;
    auto logTarget() const -> void;

    boost::asio::io_context& m_io;
    LocalTarget& m_target;
    const HostDirectory& m_directory;
    Options m_options;
    HostRowWriter m_announcer;
    StoreTime m_storeTime;
    std::function<void()> m_targetChanged;
    boost::asio::steady_timer m_firstHeartbeatTimer;
    std::optional<std::chrono::milliseconds> m_joinedAt; // when this host told of itself first, on the store's clock
    bool m_knowsHosts = false;
};

} // namespace coriandergate::fleet
