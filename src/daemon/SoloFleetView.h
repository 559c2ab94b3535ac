// The OnceFleetView of a daemon that knows of no other: it holds every seat itself.
#pragma once

#include "daemon/OnceFleetView.h"

namespace coriandergate::daemon {

class SoloFleetView : public OnceFleetView {
public:
    explicit SoloFleetView(DaemonIdentity self)
        : m_self(std::move(self))
    {
    }

    [[nodiscard]] auto seatCount() const -> unsigned override { return s_seatCount; }
    [[nodiscard]] auto holderOf(unsigned) const -> std::optional<DaemonIdentity> override { return m_self; }
    auto rejectHolder(unsigned, const DaemonIdentity&) const -> void override { }
    [[nodiscard]] auto tenureOf(unsigned seat, MonotonicTime now) const -> std::optional<once::SeatLease> override
    {
        return once::SeatLease { seat, 1, now + std::chrono::minutes(1), {}, {}, {} };
    }
    [[nodiscard]] auto members() const -> std::vector<once::SeatRebuild::Member> override { return { { m_self, {} } }; }
    [[nodiscard]] auto lost() const -> std::vector<once::LostDaemon> override { return {}; }

private:
    static constexpr unsigned s_seatCount = 64;

    DaemonIdentity m_self;
};

} // namespace coriandergate::daemon
