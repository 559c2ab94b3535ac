// What a soak does to its fleet and when, drawn from a seed: the same seed gives the same plan.
//
//   const auto plan = drawPlan({ .seed = 7, .hosts = 6, .length = 20s });
//   for (const auto& step : plan) ...
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace coriandergate::soak {

// FaultKind is one thing that a soak can do.
enum class FaultKind {
    KillDaemon, // SIGKILL, and started again
    PauseDaemon, // SIGSTOP for a while
    StopDaemon, // a planned stop by SIGTERM, and started again
    ReloadDaemon, // SIGHUP
    DelayPeers, // the ways from other daemons get slow
    ResetPeers, // their connections are cut
    CutRequests, // nothing passes towards the daemon
    CutAnswers, // nothing passes from it
    SilencePeers, // open connections go silent both ways
    CutStore, // the daemon doesn't reach the store
    StoreBusy, // the store refuses everyone
    StoreSilent,
    StoreLosesAnswers,
    StoreSlow,
    StoreForgets,
    InstanceFails,
    InstanceHangs,
    InstanceRefuses,
    InstancesRepeatRejections, // all reject some requests, and send a rejection again when the request comes again
    InstanceStatesNothing, // it runs requests and answers 503 without the statement that they were not run
    InstanceForgesOutcome, // it runs requests and answers in the daemons' own words that they were not sent
    InstanceUnsigned,
    InstanceSlow,
    ReplaceInstance, // it leaves as planned, and another comes
    ChangeConfiguration,
    WithdrawKey,
    StoreRestored, // it is away for a moment and comes back with the content that it had some seconds before
};

// Step is one fault of a plan.
struct Step {
    std::chrono::milliseconds at { 0 }; // from the start of the run
    std::chrono::milliseconds length { 0 }; // for those that last
    FaultKind kind = FaultKind::KillDaemon;
    std::size_t host = 0;
};

struct PlanOptions {
    std::uint64_t seed = 1;
    std::size_t hosts = 6;
    std::chrono::milliseconds length { 20000 };
    std::vector<FaultKind> kinds; // empty: all
};

// drawPlan() is the steps in the order of their time. Some stretches hold planned work alone, so that what it must not
// cut can be told; elsewhere faults come in series and overlap.
[[nodiscard]] auto drawPlan(const PlanOptions& options) -> std::vector<Step>;

// isPlanned() says that operators do it on purpose, and that nothing may be lost by it.
[[nodiscard]] auto isPlanned(FaultKind kind) -> bool;

[[nodiscard]] auto faultName(FaultKind kind) -> std::string_view;
[[nodiscard]] auto allFaults() -> std::vector<FaultKind>;

} // namespace coriandergate::soak
