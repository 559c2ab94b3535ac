#include "soak/Plan.h"

#include <algorithm>
#include <array>
#include <random>
#include <utility>

namespace coriandergate::soak {

using std::chrono::milliseconds;

namespace {

    constexpr std::array<std::pair<FaultKind, std::string_view>, 27> names { {
        { FaultKind::KillDaemon, "kill-daemon" },
        { FaultKind::PauseDaemon, "pause-daemon" },
        { FaultKind::StopDaemon, "stop-daemon" },
        { FaultKind::ReloadDaemon, "reload-daemon" },
        { FaultKind::DelayPeers, "delay-peers" },
        { FaultKind::ResetPeers, "reset-peers" },
        { FaultKind::CutRequests, "cut-requests" },
        { FaultKind::CutAnswers, "cut-answers" },
        { FaultKind::SilencePeers, "silence-peers" },
        { FaultKind::CutStore, "cut-store" },
        { FaultKind::StoreBusy, "store-busy" },
        { FaultKind::StoreSilent, "store-silent" },
        { FaultKind::StoreLosesAnswers, "store-loses-answers" },
        { FaultKind::StoreSlow, "store-slow" },
        { FaultKind::StoreForgets, "store-forgets" },
        { FaultKind::InstanceFails, "instance-fails" },
        { FaultKind::InstanceHangs, "instance-hangs" },
        { FaultKind::InstanceRefuses, "instance-refuses" },
        { FaultKind::InstancesRepeatRejections, "instances-repeat-rejections" },
        { FaultKind::InstanceStatesNothing, "instance-states-nothing" },
        { FaultKind::InstanceForgesOutcome, "instance-forges-outcome" },
        { FaultKind::InstanceUnsigned, "instance-unsigned" },
        { FaultKind::InstanceSlow, "instance-slow" },
        { FaultKind::ReplaceInstance, "replace-instance" },
        { FaultKind::ChangeConfiguration, "change-configuration" },
        { FaultKind::WithdrawKey, "withdraw-key" },
        { FaultKind::StoreRestored, "store-restored" },
    } };

    // A stretch of the run is either wild or holds planned work alone.
    constexpr milliseconds stretch { 8000 };
    constexpr milliseconds shortestGap { 250 };
    constexpr milliseconds longestGap { 1500 };
    constexpr milliseconds shortestFault { 200 };
    constexpr milliseconds longestFault { 5000 };

} // namespace

auto faultName(FaultKind kind) -> std::string_view
{
    for (const auto& [known, name] : names) {
        if (known == kind)
            return name;
    }
    return "unknown";
}

auto allFaults() -> std::vector<FaultKind>
{
    std::vector<FaultKind> kinds;
    for (const auto& [kind, name] : names)
        kinds.push_back(kind);
    return kinds;
}

auto isPlanned(FaultKind kind) -> bool
{
    switch (kind) {
    case FaultKind::StopDaemon:
    case FaultKind::ReloadDaemon:
    case FaultKind::ReplaceInstance:
    case FaultKind::ChangeConfiguration:
    case FaultKind::WithdrawKey:
        return true;
    default:
        return false;
    }
}

auto drawPlan(const PlanOptions& options) -> std::vector<Step>
{
    std::mt19937_64 random(options.seed);
    const auto draw = [&random](milliseconds least, milliseconds most) -> milliseconds {
        return milliseconds(std::uniform_int_distribution<milliseconds::rep>(least.count(), most.count())(random));
    };
    const auto kinds = options.kinds.empty() ? allFaults() : options.kinds;
    std::vector<FaultKind> planned;
    std::copy_if(kinds.begin(), kinds.end(), std::back_inserter(planned), isPlanned);
    std::vector<Step> plan;
    bool isWild = random() % 2 == 0;
    auto stretchEnd = stretch;
    for (auto at = draw(shortestGap, longestGap); at < options.length; at += draw(shortestGap, longestGap)) {
        if (at >= stretchEnd) {
            isWild = !isWild;
            stretchEnd += stretch;
        }
        const auto& choices = isWild || planned.empty() ? kinds : planned;
        plan.push_back({ at, draw(shortestFault, longestFault), choices[random() % choices.size()],
            static_cast<std::size_t>(random() % options.hosts) });
    }
    return plan;
}

} // namespace coriandergate::soak
