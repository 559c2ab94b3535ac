// The OnceFleetView of a daemon in a fleet: seats from the seat map and its leases, daemons from gossip.
#pragma once

#include "base/Locality.h"
#include "base/Mutex.h"
#include "daemon/OnceFleetView.h"

#include <map>
#include <memory>
#include <string>

namespace coriandergate::member {
class PeerTable;
struct PeerSnapshot;
}
namespace coriandergate::seat {
class SeatDirectory;
class SeatLeaseClient;
}

namespace coriandergate::daemon {

// SeatFleetView is safe from any thread, but for observe().
class SeatFleetView : public OnceFleetView {
public:
    SeatFleetView(DaemonIdentity self, Locality locality, std::shared_ptr<seat::SeatDirectory> directory,
        std::shared_ptr<seat::SeatLeaseClient> authority, std::shared_ptr<member::PeerTable> peers,
        MonotonicDuration retention);

    // observe() takes in a snapshot of the fleet, to notice runs that were replaced at their address or have left. On
    // the main thread.
    auto observe(const member::PeerSnapshot& snapshot, MonotonicTime now) -> void;

    [[nodiscard]] auto seatCount() const -> unsigned override;
    [[nodiscard]] auto holderOf(unsigned seat) const -> std::optional<DaemonIdentity> override;
    auto rejectHolder(unsigned seat, const DaemonIdentity& daemon) const -> void override;
    [[nodiscard]] auto tenureOf(unsigned seat, MonotonicTime now) const -> std::optional<once::SeatLease> override;
    [[nodiscard]] auto members() const -> std::vector<once::SeatRebuild::Member> override;
    [[nodiscard]] auto lost() const -> std::vector<once::LostDaemon> override;

private:
    DaemonIdentity m_self;
    Locality m_locality;
    std::shared_ptr<seat::SeatDirectory> m_directory;
    std::shared_ptr<seat::SeatLeaseClient> m_authority;
    std::shared_ptr<member::PeerTable> m_peers;
    MonotonicDuration m_retention;
    mutable Mutex m_mutex;
    std::map<std::string, once::SeatRebuild::Member> m_seen GUARDED_BY(m_mutex); // the last run at each address
    std::vector<once::LostDaemon> m_replaced GUARDED_BY(m_mutex); // or gone
};

} // namespace coriandergate::daemon
