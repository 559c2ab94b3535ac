// A target as the daemon on its host knows it.
#pragma once

#include "member/TargetAnnouncement.h"

namespace coriandergate::member {

// TargetState says whether new work may go to a target.
enum class TargetState {
    Serving,
    Draining, // leaving: finishes what it has and gets nothing new
};

// Target is a value.
struct Target {
    TargetAnnouncement announcement;
    TargetState state = TargetState::Serving;

    friend auto operator==(const Target&, const Target&) -> bool = default;
};

} // namespace coriandergate::member
