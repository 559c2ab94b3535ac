// A target as registered with the daemon on its host.
#pragma once

#include "base/Clock.h"
#include "member/TargetAnnouncement.h"

#include <optional>

namespace coriandergate::member {

// TargetState determines whether new requests may be sent to a target.
enum class TargetState {
    Serving,
    Draining, // leaving: finishes its open requests and gets no new ones
};

// Target is an announced target and its state.
struct Target {
    TargetAnnouncement announcement;
    TargetState state = TargetState::Serving;
    std::optional<MonotonicTime> drainingSince; // set in state Draining

    friend auto operator==(const Target&, const Target&) -> bool = default;
};

} // namespace coriandergate::member
