#include "member/TargetRegistry.h"

#include "base/Error.h"
#include "base/Hash.h"
#include "member/HostAddress.h"

#include <algorithm>

namespace coriandergate::member {

namespace {

    constexpr std::size_t maximumServiceNameBytes = 128;

    auto isPrintable(char character) -> bool { return character > ' ' && character < '\x7f'; }

    auto isServiceName(std::string_view name) -> bool
    {
        return !name.empty() && name.size() <= maximumServiceNameBytes
            && std::all_of(name.begin(), name.end(), isPrintable);
    }

    auto announceError(const TargetAnnouncement& announcement, std::string why) -> Error
    {
        return { "announce target", announcement.address, std::move(why) };
    }

}

TargetRegistry::TargetRegistry(const Options& options)
    : m_options(options)
{
}

auto TargetRegistry::announce(const TargetAnnouncement& announcement, MonotonicTime now, Error& reason) -> bool
{
    if (!validate(announcement, reason))
        return false;
    auto& shard = shardOf(announcement.service);
    const MutexLock lock(shard.mutex);
    auto& entries = shard.services[announcement.service];
    const auto known = entries.find(announcement.address);
    const auto isKnown = known != entries.end();
    if (isKnown && known->second.expiresAt > now) {
        if (!renew(known->second, announcement, now)) {
            reason = announceError(announcement, "the target is leaving");
            return false;
        }
        if (known->second.target != Target { announcement, TargetState::Serving, std::nullopt }) {
            known->second.target = { announcement, TargetState::Serving, std::nullopt };
            ++m_version;
        }
        return true;
    }
    if (!isKnown && m_targetCount.fetch_add(1) >= m_options.maximumTargets) {
        --m_targetCount;
        reason = announceError(
            announcement, "the host already has " + std::to_string(m_options.maximumTargets) + " targets");
        return false;
    }
    entries[announcement.address]
        = { { announcement, TargetState::Serving, std::nullopt }, now + m_options.timeToLive };
    ++m_version;
    return true;
}

auto TargetRegistry::leave(std::string_view address, MonotonicTime now) -> bool
{
    auto isFound = false;
    for (auto& shard : m_shards) {
        const MutexLock lock(shard.mutex);
        for (auto& [service, entries] : shard.services) {
            const auto entry = entries.find(address);
            if (entry == entries.end() || entry->second.expiresAt <= now)
                continue;
            isFound = true;
            if (entry->second.target.state == TargetState::Draining)
                continue;
            entry->second.target.state = TargetState::Draining;
            entry->second.target.drainingSince = now;
            entry->second.expiresAt = now + m_options.timeToLive;
            ++m_version;
        }
    }
    return isFound;
}

auto TargetRegistry::expire(MonotonicTime now) -> std::size_t
{
    std::size_t expired = 0;
    for (auto& shard : m_shards) {
        const MutexLock lock(shard.mutex);
        for (auto& [service, entries] : shard.services)
            expired += std::erase_if(entries, [now](const auto& entry) { return entry.second.expiresAt <= now; });
        std::erase_if(shard.services, [](const auto& service) { return service.second.empty(); });
    }
    m_targetCount -= expired;
    if (expired > 0)
        ++m_version;
    return expired;
}

auto TargetRegistry::targetsOf(std::string_view service, MonotonicTime now) const -> std::vector<Target>
{
    std::vector<Target> targets;
    const auto& shard = shardOf(service);
    const MutexLock lock(shard.mutex);
    const auto entries = shard.services.find(service);
    if (entries == shard.services.end())
        return targets;
    for (const auto& [address, entry] : entries->second) {
        if (entry.expiresAt > now)
            targets.push_back(entry.target);
    }
    return targets;
}

auto TargetRegistry::find(std::string_view service, std::string_view address, MonotonicTime now) const
    -> std::optional<Target>
{
    const auto& shard = shardOf(service);
    const MutexLock lock(shard.mutex);
    const auto entries = shard.services.find(service);
    if (entries == shard.services.end())
        return std::nullopt;
    const auto entry = entries->second.find(address);
    if (entry == entries->second.end() || entry->second.expiresAt <= now)
        return std::nullopt;
    return entry->second.target;
}

auto TargetRegistry::acceptsRequests(const Target& target, MonotonicTime now) const -> bool
{
    return target.state == TargetState::Serving
        || (target.drainingSince && now < *target.drainingSince + m_options.drainGracePeriod);
}

auto TargetRegistry::fallbackTarget(std::string_view service, MonotonicTime now) const -> std::optional<Target>
{
    std::optional<Target> latest;
    for (auto& target : targetsOf(service, now)) {
        if (acceptsRequests(target, now) && (!latest || target.drainingSince > latest->drainingSince))
            latest = std::move(target);
    }
    return latest;
}

auto TargetRegistry::lastAnnouncedAt(std::string_view service, MonotonicTime now) const -> std::optional<MonotonicTime>
{
    const auto& shard = shardOf(service);
    const MutexLock lock(shard.mutex);
    std::optional<MonotonicTime> latest;
    const auto entries = shard.services.find(service);
    if (entries == shard.services.end())
        return latest;
    for (const auto& [address, entry] : entries->second) {
        const auto announcedAt = entry.expiresAt - m_options.timeToLive;
        if (entry.target.state == TargetState::Serving && entry.expiresAt > now && (!latest || announcedAt > *latest))
            latest = announcedAt;
    }
    return latest;
}

auto TargetRegistry::snapshot(MonotonicTime now) const -> TargetSnapshot
{
    TargetSnapshot snapshot;
    // Read before the targets: a change made meanwhile may be included under the older version, but the newer version
    // then makes the caller take another snapshot.
    snapshot.version = m_version;
    for (const auto& shard : m_shards) {
        const MutexLock lock(shard.mutex);
        for (const auto& [service, entries] : shard.services) {
            for (const auto& [address, entry] : entries) {
                if (entry.expiresAt > now)
                    snapshot.targets.push_back(entry.target);
            }
        }
    }
    std::sort(snapshot.targets.begin(), snapshot.targets.end(), [](const Target& left, const Target& right) {
        return std::tie(left.announcement.service, left.announcement.address)
            < std::tie(right.announcement.service, right.announcement.address);
    });
    return snapshot;
}

auto TargetRegistry::version() const -> std::uint64_t { return m_version; }

auto TargetRegistry::validate(const TargetAnnouncement& announcement, Error& reason) const -> bool
{
    if (!isServiceName(announcement.service))
        reason = announceError(announcement, "service must be 1 to 128 printable ASCII characters without spaces");
    else if (!parseHostAddress(announcement.address))
        reason = announceError(announcement, "address must be an IP address and a port from 1 to 65535");
    else if (announcement.slots < 1 || announcement.slots > m_options.maximumSlots)
        reason = announceError(announcement, "slots must be from 1 to " + std::to_string(m_options.maximumSlots));
    else
        return true;
    return false;
}

auto TargetRegistry::shardOf(std::string_view service) -> Shard& { return m_shards[hashOf(service) % s_shardCount]; }

auto TargetRegistry::shardOf(std::string_view service) const -> const Shard&
{
    return m_shards[hashOf(service) % s_shardCount];
}

auto TargetRegistry::renew(Entry& entry, const TargetAnnouncement& announcement, MonotonicTime now) const -> bool
{
    const auto isSameRun = entry.target.announcement.incarnation == announcement.incarnation;
    if (entry.target.state == TargetState::Draining && isSameRun)
        return false;
    entry.expiresAt = now + m_options.timeToLive;
    return true;
}

} // namespace coriandergate::member
