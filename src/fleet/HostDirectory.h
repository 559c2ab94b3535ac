// All hosts of the fleet, from their rows in the store.
//
//   HostDirectory directory;
//   for (const auto& fault : directory.apply(rows, isWhole)) log(fault);
//   board.setTargets(directory.targets());
#pragma once

#include "base/Error.h"
#include "dispatch/RateHomes.h"
#include "dispatch/TargetBoard.h"
#include "fleet/HostRecord.h"
#include "fleet/StoreClient.h"

#include <map>
#include <string>
#include <vector>

namespace coriandergate::fleet {

// HostDirectory is used by one thread.
class HostDirectory {
public:
    using RateHosts = std::map<std::string, std::vector<dispatch::RateHost>>;

    // apply() takes changed rows, or all rows when `isWhole`; older ones than those known change nothing. Rows that
    // can't be read are left aside and returned.
    auto apply(const std::vector<StoreRow>& rows, bool isWhole) -> std::vector<Error>;

    // size() counts the hosts, also those whose target left or whose daemon doesn't answer.
    [[nodiscard]] auto size() const -> std::size_t { return m_hosts.size(); }

    // find() is the record of the host with that key, or null.
    [[nodiscard]] auto find(const std::string& key) const -> const HostRecord*;

    // version() is the version of a host's row, 0 if there is none.
    [[nodiscard]] auto version(const std::string& key) const -> std::uint64_t;

    // hostsInRegion() are the keys of the hosts of `region`, sorted; hostsInDataCentre() those of one data centre.
    [[nodiscard]] auto hostsInRegion(const std::string& region) const -> std::vector<std::string>;
    [[nodiscard]] auto hostsInDataCentre(const Locality& locality) const -> std::vector<std::string>;

    // rateHosts() are the hosts of each region that has any, with when each joined, for the choice of accounts' homes.
    [[nodiscard]] auto rateHosts() const -> const RateHosts& { return m_rateHosts; }

    // rateHostsInRegion() are those of `region`.
    [[nodiscard]] auto rateHostsInRegion(const std::string& region) const -> const std::vector<dispatch::RateHost>&;

    // targets() are the targets that may get work.
    [[nodiscard]] auto targets() const -> std::vector<dispatch::TargetBoard::Description>;

private:
    auto gatherRateHosts() -> void;

    std::map<std::string, HostRecord> m_hosts;
    RateHosts m_rateHosts; // gathered from m_hosts when rows change: every request with a key needs them
    std::map<std::string, std::uint64_t> m_versions; // of the rows seen last, also of removed ones
};

} // namespace coriandergate::fleet
