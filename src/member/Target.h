// A target as the daemon on its host knows it.
#pragma once

#include "base/Clock.h"
#include "member/TargetAnnouncement.h"

#include <optional>

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
    std::optional<MonotonicTime> leftAt; // when it began to drain

    friend auto operator==(const Target&, const Target&) -> bool = default;
};

} // namespace coriandergate::member
