// Index of all hosts of the fleet, built from their rows in the store, and of the requests that are known to crash
// targets, whose rows are in the same table.
//
// A target that has started draining never serves again. If the store comes back from an older copy in which it still
// serves, the index keeps it as draining.
//
//   HostDirectory directory;
//   for (const auto& fault : directory.apply(rows, isSnapshot)) log(fault);
//   board.setTargets(directory.targets());
#pragma once

#include "base/Error.h"
#include "dispatch/LoadBalancer.h"
#include "dispatch/RateLimitOwners.h"
#include "fleet/HostRecord.h"
#include "fleet/StoreClient.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace coriandergate::fleet {

// HostDirectory is not thread-safe.
class HostDirectory {
public:
    using RateLimitHostsByRegion = std::map<std::string, std::vector<dispatch::RateLimitHost>>;

    // apply() processes changed rows, or all rows if `isSnapshot`. Rows older than the known version are ignored. Rows
    // that can't be decoded are skipped and returned as errors.
    auto apply(const std::vector<StoreRow>& rows, bool isSnapshot) -> std::vector<Error>;

    // Departed hosts are in none of the lists below, only where a function says so.

    // size() counts all hosts, including those whose target is draining or whose daemon is unreachable.
    [[nodiscard]] auto size() const -> std::size_t { return m_hosts.size(); }

    // find() returns the record of the host with that key, or null.
    [[nodiscard]] auto find(const std::string& key) const -> const HostRecord*;

    // findDeparted() returns the record of the departed host with that key, or null.
    [[nodiscard]] auto findDeparted(const std::string& key) const -> const HostRecord*;

    // hostsWithLostDrain() returns the keys of the hosts whose rows say that a target serves which is known to drain.
    [[nodiscard]] auto hostsWithLostDrain() const -> const std::set<std::string>& { return m_hostsWithLostDrain; }

    // hostsDepartedBefore() returns the keys of the hosts of `region` that departed before `time` on the store's clock.
    [[nodiscard]] auto hostsDepartedBefore(const std::string& region, std::chrono::milliseconds time) const
        -> std::vector<std::string>;

    // crashesTargets() returns whether a request is marked as one that crashes targets.
    [[nodiscard]] auto crashesTargets(std::uint64_t fingerprint) const -> bool
    {
        return m_crashingRequests.contains(fingerprint);
    }
    // crashingRequests() is the number of such requests.
    [[nodiscard]] auto crashingRequests() const -> std::size_t { return m_crashingRequests.size(); }
    // CrashRows maps the keys of rows to the time of the last crash, by the store's clock.
    using CrashRows = std::map<std::string, std::chrono::milliseconds>;
    // crashRows() returns the rows that mark a request; each region may have one.
    [[nodiscard]] auto crashRows(std::uint64_t fingerprint) const -> CrashRows;
    // crashRowsBefore() returns the keys of the rows of `region` whose last crash was before `time`.
    [[nodiscard]] auto crashRowsBefore(const std::string& region, std::chrono::milliseconds time) const
        -> std::vector<std::string>;

    // version() returns the version of a row, also of a departed host or a crashing request, 0 if there is none.
    [[nodiscard]] auto version(const std::string& key) const -> std::uint64_t;

    // hostsInRegion() returns the sorted keys of the hosts in `region`; hostsInDataCentre() those in one data centre.
    [[nodiscard]] auto hostsInRegion(const std::string& region) const -> std::vector<std::string>;
    [[nodiscard]] auto hostsInDataCentre(const Locality& locality) const -> std::vector<std::string>;

    // rateLimitHosts() maps each region to its hosts and their join times. The owners of each client account's
    // rate limit are selected among them.
    [[nodiscard]] auto rateLimitHosts() const -> const RateLimitHostsByRegion& { return m_rateLimitHosts; }

    // rateLimitHostsInRegion() returns the hosts in `region`.
    [[nodiscard]] auto rateLimitHostsInRegion(const std::string& region) const
        -> const std::vector<dispatch::RateLimitHost>&;

    // targets() returns the targets of all hosts that have one, including draining targets.
    [[nodiscard]] auto targets() const -> std::vector<dispatch::LoadBalancer::Description>;

private:
    // applyRow() updates the index from one row; false with a reason if the row can't be decoded.
    auto applyRow(const StoreRow& row, Error& reason) -> bool;
    auto keepDrain(const std::string& key, HostRecord& record) -> void;
    auto rebuildRateLimitHosts() -> void;

    // Incarnation identifies one run of a target.
    struct Incarnation {
        std::string id;
        std::uint64_t startedAt = 0;

        friend auto operator==(const Incarnation&, const Incarnation&) -> bool = default;
    };

    std::map<std::string, HostRecord> m_hosts;
    std::map<std::string, HostRecord> m_departedHosts;
    std::map<std::string, Incarnation> m_drainedTargets; // the last one known to drain of each host
    std::set<std::string> m_hostsWithLostDrain;
    std::unordered_map<std::uint64_t, CrashRows> m_crashingRequests; // by fingerprint
    // Computed when rows change, because every request with an API key reads it.
    RateLimitHostsByRegion m_rateLimitHosts;
    std::map<std::string, std::uint64_t> m_versions; // of the last rows received, including removed ones
};

} // namespace coriandergate::fleet
