#include "fleet/HostDirectory.h"

#include "fleet/CrashRow.h"

namespace coriandergate::fleet {

auto HostDirectory::apply(const std::vector<StoreRow>& rows, bool isSnapshot) -> std::vector<Error>
{
    std::vector<Error> faults;
    if (isSnapshot) {
        m_hosts.clear();
        m_departedHosts.clear();
        m_hostsWithLostDrain.clear();
        m_crashingRequests.clear();
        m_versions.clear();
    }
    for (const auto& row : rows) {
        auto& version = m_versions[row.key];
        if (row.version < version)
            continue;
        version = row.version;
        Error reason;
        if (!applyRow(row, reason))
            faults.push_back(reason);
    }
    rebuildRateLimitHosts();
    return faults;
}

auto HostDirectory::applyRow(const StoreRow& row, Error& reason) -> bool
{
    if (const auto fingerprint = parseCrashRowKey(row.key)) {
        const auto lastCrashAt = row.isRemoved ? std::nullopt : decodeCrashRow(row.key, row.value, reason);
        auto& rows = m_crashingRequests[*fingerprint];
        if (lastCrashAt)
            rows[row.key] = *lastCrashAt;
        else if (row.isRemoved)
            rows.erase(row.key);
        if (rows.empty())
            m_crashingRequests.erase(*fingerprint);
        return lastCrashAt || row.isRemoved;
    }
    auto record = row.isRemoved ? std::nullopt : decodeHostRecord(row.key, row.value, reason);
    if (!record && !row.isRemoved)
        return false;
    m_hosts.erase(row.key);
    m_departedHosts.erase(row.key);
    m_hostsWithLostDrain.erase(row.key);
    if (record) {
        keepDrain(row.key, *record);
        auto& hosts = record->state == HostRecord::State::Departed ? m_departedHosts : m_hosts;
        hosts.emplace(row.key, std::move(*record));
    }
    return true;
}

auto HostDirectory::keepDrain(const std::string& key, HostRecord& record) -> void
{
    if (record.targetId.empty())
        return;
    const Incarnation target { record.targetId, record.targetStartedAt };
    if (record.state != HostRecord::State::Serving) {
        m_drainedTargets[key] = target;
        return;
    }
    const auto drained = m_drainedTargets.find(key);
    if (drained == m_drainedTargets.end() || drained->second != target)
        return;
    record.state = HostRecord::State::Draining;
    m_hostsWithLostDrain.insert(key);
}

auto HostDirectory::find(const std::string& key) const -> const HostRecord*
{
    const auto found = m_hosts.find(key);
    return found == m_hosts.end() ? nullptr : &found->second;
}

auto HostDirectory::findDeparted(const std::string& key) const -> const HostRecord*
{
    const auto found = m_departedHosts.find(key);
    return found == m_departedHosts.end() ? nullptr : &found->second;
}

auto HostDirectory::hostsDepartedBefore(const std::string& region, std::chrono::milliseconds time) const
    -> std::vector<std::string>
{
    std::vector<std::string> hosts;
    for (const auto& [key, record] : m_departedHosts) {
        if (record.locality.region == region && record.departedAt < time)
            hosts.push_back(key);
    }
    return hosts;
}

auto HostDirectory::crashRows(std::uint64_t fingerprint) const -> CrashRows
{
    const auto found = m_crashingRequests.find(fingerprint);
    return found == m_crashingRequests.end() ? CrashRows {} : found->second;
}

auto HostDirectory::crashRowsBefore(const std::string& region, std::chrono::milliseconds time) const
    -> std::vector<std::string>
{
    std::vector<std::string> keys;
    for (const auto& [fingerprint, rows] : m_crashingRequests) {
        const auto found = rows.find(crashRowKey(region, fingerprint));
        if (found != rows.end() && found->second < time)
            keys.push_back(found->first);
    }
    return keys;
}

auto HostDirectory::version(const std::string& key) const -> std::uint64_t
{
    const auto found = m_versions.find(key);
    const auto fingerprint = parseCrashRowKey(key);
    const bool hasRow
        = fingerprint ? crashRows(*fingerprint).contains(key) : m_hosts.contains(key) || m_departedHosts.contains(key);
    return hasRow && found != m_versions.end() ? found->second : 0;
}

auto HostDirectory::hostsInRegion(const std::string& region) const -> std::vector<std::string>
{
    std::vector<std::string> hosts;
    for (const auto& [key, record] : m_hosts) {
        if (record.locality.region == region)
            hosts.push_back(key);
    }
    return hosts;
}

auto HostDirectory::hostsInDataCentre(const Locality& locality) const -> std::vector<std::string>
{
    std::vector<std::string> hosts;
    for (const auto& [key, record] : m_hosts) {
        if (record.locality == locality)
            hosts.push_back(key);
    }
    return hosts;
}

auto HostDirectory::rebuildRateLimitHosts() -> void
{
    m_rateLimitHosts.clear();
    for (const auto& [key, record] : m_hosts)
        m_rateLimitHosts[record.locality.region].push_back({ key, record.joinedAt });
}

auto HostDirectory::rateLimitHostsInRegion(const std::string& region) const
    -> const std::vector<dispatch::RateLimitHost>&
{
    static const std::vector<dispatch::RateLimitHost> s_none;
    const auto found = m_rateLimitHosts.find(region);
    return found == m_rateLimitHosts.end() ? s_none : found->second;
}

auto HostDirectory::targets() const -> std::vector<dispatch::LoadBalancer::Description>
{
    std::vector<dispatch::LoadBalancer::Description> targets;
    for (const auto& [key, record] : m_hosts) {
        if (record.state == HostRecord::State::NoTarget)
            continue;
        targets.push_back({ .address = record.peerAddress,
            .hostKey = key,
            .targetId = record.targetId,
            .targetStartedAt = record.targetStartedAt,
            .service = record.service,
            .locality = record.locality,
            .slots = record.slots,
            .isDraining = record.state != HostRecord::State::Serving });
    }
    return targets;
}

} // namespace coriandergate::fleet
