// What an entry knows of the targets of each service, and its choice among them.
//
// A target's cost is how full it is, as it told last and as this entry has loaded it since, and how far away it is. One
// that told nothing lately is taken for as full as the others of its service are on average. The
// nearest targets serve until they are fuller than those farther away by the weight of the distance.
//
// Load patterns: a data centre whose callers outgrow its targets; targets slowed several times; a path to some targets
// that is cut while others reach them; targets that refuse or fail.
//
//   LoadBalancer board({ .ownLocality = { "saurashtra", "rajkot-a" } });
//   board.setTargets(descriptions);
//   if (auto* target = board.choose({ .service = "ledger" }, now, random)) {
//       board.beginRequest(*target);
//       ...
//       board.endRequest(*target);
//   }
#pragma once

#include "base/Clock.h"
#include "base/Locality.h"
#include "dispatch/TargetLoad.h"

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace coriandergate::dispatch {

// LoadBalancer is used by one thread.
class LoadBalancer {
public:
    struct Options {
        Locality ownLocality;
        // Weights in parts of a full target. A hop within the region costs about a millisecond, one between regions
        // tens of them and a share of the narrow link.
        double otherDataCentreWeight = 0.45;
        double otherRegionWeight = 1.1;
        double refusedWeight = 1.5; // for a target that refuses all that reaches it
        std::chrono::milliseconds failingMemory { 1000 }; // after its trial was due a target may have become sound
        double failingWeight = 0.5; // for a failing target while most of its service fails
        double mostShare = 0.5; // of a service's targets; when more fail, none is left out for it
        std::chrono::milliseconds loadMemory { 1000 }; // after it, half of what a target told has faded
        std::chrono::milliseconds firstPathBackoff { 700 }; // a path that failed isn't tried for so long
        std::chrono::milliseconds longestPathBackoff { 6000 };
    };

    // Description is a target as it is announced.
    struct Description {
        std::string address; // of the daemon beside it
        std::string service;
        Locality locality;
        std::size_t slots = 1;
        bool isLeaving = false;
    };

    // Target is a candidate. Pointers stay valid while a caller shares them.
    struct Target {
        Description description;
        TargetLoad load;
        MonotonicTime loadToldAt;
        std::size_t startedSince = 0; // requests of this entry that began after the load was told
        std::size_t underWay = 0; // requests of this entry
        MonotonicTime avoidUntil; // it refused or its path failed
        MonotonicTime trialAt; // a failing target may be tried with a repeatable request from then on
        bool isFailing = false;
        double refusedShare = 0; // of the requests that reached it lately
        std::chrono::milliseconds pathBackoff { 0 };
        std::optional<MonotonicTime> unreachedSince; // each try since then failed
    };
    using TargetPointer = std::shared_ptr<Target>;

    struct Need {
        std::string_view service;
        bool mayProbe = false;
        double distanceFactor = 1; // for answers that are costly to carry far
        std::span<const std::string> excluded; // addresses that were tried already
    };

    explicit LoadBalancer(const Options& options);

    // setTargets() takes over who is announced; what is known of those that stay is kept.
    auto setTargets(const std::vector<Description>& descriptions) -> void;

    // isInPanicMode() says that most targets of `service` fail, so that failing ones are taken too.
    [[nodiscard]] auto isInPanicMode(std::string_view service, MonotonicTime now) const -> bool;

    // choose() is the target with the least cost, or null. `random` breaks ties.
    [[nodiscard]] auto choose(const Need& need, MonotonicTime now, std::uint64_t random) const -> TargetPointer;

    auto beginRequest(Target& target) -> void;
    auto endRequest(Target& target) -> void;

    // recordLoad() takes what the daemon beside the target told with an answer or a refusal.
    auto recordLoad(Target& target, const TargetLoad& load, double refusedShare, MonotonicTime now) -> void;

    // recordFailing() notes that the target fails and when it may be tried again; recordHealthy() that it works.
    auto recordFailing(Target& target, std::chrono::milliseconds trialIn, MonotonicTime now) -> void;
    auto recordHealthy(Target& target) -> void;

    // recordPathFailure() notes that the daemon beside the target wasn't reached; each one in a row doubles the time
    // for which the path isn't tried. recordPathSuccess() notes that it was reached.
    auto recordPathFailure(Target& target, MonotonicTime now) -> void;
    auto recordPathSuccess(Target& target) -> void;

    // isUnreachableFor() says that the daemon at `address` was tried for at least `length` and never reached.
    [[nodiscard]] auto isUnreachableFor(
        std::string_view address, std::chrono::milliseconds length, MonotonicTime now) const -> bool;

    // markUnavailable() leaves the target out until `until`.
    auto markUnavailable(Target& target, MonotonicTime until) -> void;

    // estimatedUtilization() is the part of the slots of `target` that is taken; above 1 requests wait.
    // `typicalFill` stands for what it didn't tell lately.
    [[nodiscard]] auto estimatedUtilization(const Target& target, double typicalFill, MonotonicTime now) const
        -> double;

    // meanUtilization() is the mean of what the targets of `service` told lately; 0 when none did.
    [[nodiscard]] auto meanUtilization(std::string_view service, MonotonicTime now) const -> double;

    [[nodiscard]] auto targets(std::string_view service) const -> std::vector<TargetPointer>;

private:
    [[nodiscard]] auto isKnownToFail(const Target& target, MonotonicTime now) const -> bool;
    [[nodiscard]] auto cost(const Target& target, const Need& need, double typicalFill, bool takesFailing,
        MonotonicTime now) const -> double;

    Options m_options;
    std::map<std::string, TargetPointer, std::less<>> m_byAddress;
    std::map<std::string, std::vector<TargetPointer>, std::less<>> m_byService;
};

} // namespace coriandergate::dispatch
