// Holds and guards seats: keeps the seat map, renews leases over calls between daemons, and plans a new map when a
// daemon comes or goes.
//
// SeatPlugin makes one. One daemon, the one that comes first by a hash of its address
// among those that live, reads and writes the row of the seat map; the others hear of a newer epoch by gossip and fetch
// the map from a peer.
#pragma once

#include "base/Clock.h"
#include "base/DaemonIdentity.h"
#include "base/Locality.h"
#include "base/Mutex.h"
#include "seat/SeatMessage.h"
#include "seat/SeatPlanner.h"
#include "store/TableService.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

namespace prometheus {
class Gauge;
class Counter;
}
namespace coriandergate::kernel {
class Kernel;
}
namespace coriandergate::member {
class PeerTable;
}
namespace coriandergate::rpc {
class RpcClient;
class RpcRegistry;
}
namespace coriandergate::seat {
class SeatDirectory;
class SeatLeaseClient;
class SeatLeaseGrantor;
}
namespace coriandergate::settings {
class Settings;
}

namespace coriandergate::daemon {

// SeatService is driven by tick() on the main thread; answers of other daemons and of the store come in on workers.
class SeatService : public std::enable_shared_from_this<SeatService> {
public:
    // SeatService() takes its settings and the services it needs from `kernel`.
    explicit SeatService(kernel::Kernel& kernel);

    // addMethods() lets other daemons call this one.
    auto addMethods(rpc::RpcRegistry& registry) -> void;

    // tick() renews leases, follows the seat map and plans a new one where due; every s_tickInterval.
    auto tick() -> void;

    // releaseAll() gives up every seat, for a planned stop.
    auto releaseAll() -> void;

    [[nodiscard]] auto authority() const -> std::shared_ptr<seat::SeatLeaseClient> { return m_authority; }
    [[nodiscard]] auto directory() const -> std::shared_ptr<seat::SeatDirectory> { return m_directory; }

    static constexpr std::chrono::milliseconds s_tickInterval { 50 };

private:
    using Messages = std::vector<seat::SeatMessage>;

    auto openStore(kernel::Kernel& kernel, const settings::Settings& settings) -> void;
    auto addMetrics(kernel::Kernel& kernel) -> void;

    auto send(const Messages& messages) -> void;
    auto sendTo(const std::string& address, const Messages& messages) -> void;
    auto receive(const seat::SeatMessage& message, MonotonicTime now) -> std::optional<seat::SeatMessage>;
    [[nodiscard]] auto answerMessages(const nlohmann::json& parameters, Error& reason) -> std::optional<nlohmann::json>;
    [[nodiscard]] auto answerMap(const nlohmann::json& parameters) const -> std::optional<nlohmann::json>;

    auto adopt(const seat::SeatMap& map) -> void;
    auto fetchMap() -> void;
    auto maintain() -> void;
    auto askStarted() -> void;
    auto takeStarted(const nlohmann::json& answer) -> void;
    auto readRow() -> void;
    auto onRow(const store::ReadResult& result) -> void;
    auto planAndWrite() -> void;
    auto onCommit(const store::CommitResult& result, const seat::SeatMap& map) -> void;
    [[nodiscard]] auto isPlanner() const -> bool;
    [[nodiscard]] auto unknownDaemons(const seat::SeatMap& map) const -> std::vector<DaemonIdentity>;
    [[nodiscard]] auto liveDaemons() const -> std::vector<seat::LiveDaemon>;
    auto noteTenures(MonotonicTime now) -> void;

    DaemonIdentity m_self;
    Locality m_locality;
    seat::SeatPlannerOptions m_plannerOptions;
    std::shared_ptr<member::PeerTable> m_peers;
    std::shared_ptr<rpc::RpcClient> m_calls;
    std::shared_ptr<seat::SeatLeaseGrantor> m_ledger;
    std::shared_ptr<seat::SeatLeaseClient> m_authority;
    std::shared_ptr<seat::SeatDirectory> m_directory;
    std::shared_ptr<store::TableService> m_store;
    bool m_hasSharedStore = false;
    MonotonicTime m_nextMaintain;
    std::vector<std::uint32_t> m_heldSeats;
    prometheus::Gauge* m_heldGauge = nullptr;
    prometheus::Gauge* m_epochGauge = nullptr;
    prometheus::Counter* m_messageCounter = nullptr;

    mutable Mutex m_mutex;
    std::uint64_t m_rowVersion GUARDED_BY(m_mutex) = 0;
    bool m_isRowKnown GUARDED_BY(m_mutex) = false;
    bool m_isStoreBusy GUARDED_BY(m_mutex) = false;
    std::map<std::uint32_t, std::uint64_t> m_started GUARDED_BY(m_mutex); // as the holders said
};

} // namespace coriandergate::daemon
