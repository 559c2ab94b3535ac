// Chooses the target of an attempt and learns from how the attempt went.
#pragma once

#include "base/Clock.h"
#include "proxy/AttemptReport.h"
#include "proxy/TargetChoice.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace coriandergate::proxy {

class TargetChooser {
public:
    virtual ~TargetChooser() = default;

    // choose() is the best target of `service` that is not among `excluded`, or nothing. Safe from any thread.
    [[nodiscard]] virtual auto choose(std::string_view service, std::span<const std::string> excluded,
        MonotonicTime now) -> std::optional<TargetChoice> = 0;

    // finished() tells how the attempt at `choice` went; exactly once for each choice. Safe from any thread.
    virtual auto finished(const TargetChoice& choice, const AttemptReport& report, MonotonicTime now) -> void = 0;
};

} // namespace coriandergate::proxy
