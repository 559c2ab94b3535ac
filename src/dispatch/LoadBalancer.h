// What an entry daemon knows of the targets of each service, and its choice among them.
//
// The cost of a target is its utilization, as the daemon on its host last reported it plus the requests that this
// daemon has sent it since, and a penalty for its distance. Without a recent report a target is assumed to be as
// utilized as the targets of its service are on average. The nearest targets serve until their utilization exceeds
// that of farther ones by the distance penalty.
//
// Load patterns: a data centre whose callers outgrow its targets; targets slowed down several times; a network path to
// some targets that is cut while others reach them; targets that reject requests or fail.
//
//   LoadBalancer balancer({ .ownLocality = { "saurashtra", "rajkot-a" } });
//   balancer.setTargets(descriptions);
//   if (auto target = balancer.choose({ .service = "ledger" }, now, random)) {
//       balancer.beginRequest(*target);
//       ...
//       balancer.endRequest(*target);
//   }
#pragma once

#include "base/Clock.h"
#include "base/Locality.h"
#include "dispatch/ColdService.h"
#include "dispatch/Evacuations.h"
#include "dispatch/HomeRegions.h"
#include "dispatch/TargetArrivals.h"
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
        // Penalties are in units of utilization, where 1 is a target with all slots taken. A hop within the region
        // costs about a millisecond; one between regions costs tens of milliseconds and bandwidth of a narrow link.
        double otherDataCentrePenalty = 0.45;
        double otherRegionPenalty = 1.1;
        double rejectionPenalty = 1.5; // for a target that rejects every request
        // For a target that takes no further request within the second: a region's distance is worth it.
        double exhaustedPenalty = 1.5;
        // A failure report expires this long after nextProbeAt, since the target may have recovered by then.
        std::chrono::milliseconds failureExpiry { 1000 };
        double failingPenalty = 0.5; // for a failing target in panic mode
        double panicThreshold = 0.5; // fraction of failing targets above which a service uses failing targets too
        std::chrono::milliseconds loadHalfLife { 1000 }; // of the weight of a load report
        std::chrono::milliseconds firstPathBackoff { 700 }; // after a path failure
        std::chrono::milliseconds maximumPathBackoff { 6000 };
    };

    // Description is a target as it is announced.
    struct Description {
        std::string address; // of the daemon on its host
        std::string hostKey; // of its host; empty if it isn't known
        std::string targetId; // empty if it isn't known
        std::uint64_t targetStartedAt = 0; // with the id, tells the incarnations apart
        std::string service;
        Locality locality;
        std::size_t slots = 1;
        bool isDraining = false;
    };

    // Target is a candidate. It stays valid as long as a TargetPointer to it exists, even if setTargets() removes it.
    struct Target {
        Description description;
        TargetLoad load;
        MonotonicTime loadReportedAt;
        std::size_t startedSinceReport = 0; // requests of this daemon
        std::size_t inFlight = 0; // requests of this daemon
        MonotonicTime unavailableUntil; // after a path failure or markUnavailable()
        MonotonicTime nextProbeAt; // from then on a failing target may get a probe
        bool isFailing = false;
        double rejectionRate = 0; // fraction of the requests that it recently rejected
        std::optional<TargetArrivals> arrivals; // as last reported; nothing where arrivals aren't limited
        MonotonicTime assumedColdUntil; // set for a new incarnation that hasn't reported yet
        std::chrono::milliseconds pathBackoff { 0 };
        std::optional<MonotonicTime> unreachableSince; // every attempt since then failed to reach its host's daemon
    };
    using TargetPointer = std::shared_ptr<Target>;

    // Criteria describes the request that needs a target.
    struct Criteria {
        std::string_view service;
        bool mayProbe = false; // the request may be sent to a failing target as a probe
        double distanceFactor = 1; // scales the distance penalties, for responses that are costly to transfer
        std::span<const std::string> excluded; // addresses that were tried already
        std::span<const Description> rejecting; // targets that must not get the request, at whatever address
        const HomeRegions* homes = nullptr; // null: anywhere
        const Evacuations* evacuations = nullptr; // null: none
    };

    // isEligible() returns whether a request may go to `target`, whatever the state and the load of the target are.
    // What is said of the targets of a service for a request is said of the eligible ones.
    [[nodiscard]] static auto isEligible(const Description& target, const Criteria& criteria) -> bool;

    // isExcluded() says that a target has one of `addresses`, or may be one of `rejecting`: it has the same address, id
    // or host.
    [[nodiscard]] static auto isExcluded(const Description& target, std::span<const std::string> addresses,
        std::span<const Description> rejecting) -> bool;

    explicit LoadBalancer(const Options& options);

    // setTargets() replaces the announced targets; the state of those that remain is kept. A new incarnation of a
    // service with cold targets is taken for cold from `now` on.
    auto setTargets(const std::vector<Description>& descriptions, MonotonicTime now = {}) -> void;

    // setColdServices() sets, by name, the services whose cold targets take fewer requests.
    auto setColdServices(std::map<std::string, ColdService, std::less<>> services) -> void
    {
        m_coldServices = std::move(services);
    }

    // isInPanicMode() returns whether so many targets fail that failing ones are used too.
    [[nodiscard]] auto isInPanicMode(const Criteria& criteria, MonotonicTime now) const -> bool;

    // earliestUse() is when the first target that isn't draining may be tried, which may have passed; nothing if there
    // is none.
    [[nodiscard]] auto earliestUse(const Criteria& criteria) const -> std::optional<MonotonicTime>;

    // choose() returns the target with the lowest cost, or null. `random` breaks ties.
    [[nodiscard]] auto choose(const Criteria& criteria, MonotonicTime now, std::uint64_t random) const -> TargetPointer;

    auto beginRequest(Target& target) -> void;
    auto endRequest(Target& target) -> void;

    // recordLoad() records the load and the rejection rate that the daemon on the target's host reported in a response.
    auto recordLoad(Target& target, const TargetLoad& load, double rejectionRate, MonotonicTime now) -> void;

    // recordArrivals() records how many requests the target may still get, as reported together with its load.
    auto recordArrivals(Target& target, const std::optional<TargetArrivals>& arrivals) -> void;

    // recordFailing() records that the target fails and when it may be probed; recordHealthy() that it works.
    auto recordFailing(Target& target, std::chrono::milliseconds nextProbeIn, MonotonicTime now) -> void;
    auto recordHealthy(Target& target) -> void;

    // recordPathFailure() records that the daemon on the target's host wasn't reached; each failure in a row doubles
    // the time for which the target is unavailable. recordPathSuccess() records that it was reached.
    auto recordPathFailure(Target& target, MonotonicTime now) -> void;
    auto recordPathSuccess(Target& target) -> void;

    // isUnreachableFor() returns whether the daemon at `address` was tried for at least `length` and never reached.
    [[nodiscard]] auto isUnreachableFor(
        std::string_view address, std::chrono::milliseconds length, MonotonicTime now) const -> bool;

    // markUnavailable() excludes the target until `until`.
    auto markUnavailable(Target& target, MonotonicTime until) -> void;

    // estimatedUtilization() is the estimated fraction of the slots of `target` in use; above 1, requests wait. As the
    // load report ages, `meanUtilization` replaces it.
    [[nodiscard]] auto estimatedUtilization(const Target& target, double meanUtilization, MonotonicTime now) const
        -> double;

    // arrivalUtilization() is the estimated fraction of the requests that the target may get in a second in use.
    [[nodiscard]] auto arrivalUtilization(const Target& target, MonotonicTime now) const -> double;

    // meanUtilization() is the mean of the recent load reports of the targets; 0 if there are none.
    [[nodiscard]] auto meanUtilization(const Criteria& criteria, MonotonicTime now) const -> double;

    [[nodiscard]] auto targets(std::string_view service) const -> std::vector<TargetPointer>;
    [[nodiscard]] auto eligibleTargets(const Criteria& criteria) const -> std::vector<TargetPointer>;

private:
    [[nodiscard]] auto isKnownToFail(const Target& target, MonotonicTime now) const -> bool;
    [[nodiscard]] auto cost(const Target& target, const Criteria& criteria, double meanUtilization, bool isPanicMode,
        MonotonicTime now) const -> double;

    Options m_options;
    std::map<std::string, ColdService, std::less<>> m_coldServices;
    std::map<std::string, TargetPointer, std::less<>> m_byAddress;
    std::map<std::string, std::vector<TargetPointer>, std::less<>> m_byService;
};

} // namespace coriandergate::dispatch
