#include "dispatch/CrashTracker.h"

#include <algorithm>

namespace coriandergate::dispatch {

auto CrashTracker::recordCrash(std::uint64_t fingerprint, std::string_view target, MonotonicTime now) -> std::size_t
{
    auto found = m_requests.find(fingerprint);
    if (found == m_requests.end()) {
        forgetOldest(now);
        found = m_requests.try_emplace(fingerprint).first;
    }
    auto& request = found->second;
    if (request.crashes > 0 && request.lastCrashAt + m_options.lifetime < now)
        request = {};
    request.lastCrashAt = now;
    std::erase_if(
        request.recentCrashes, [&](const Crash& crash) { return crash.at + m_options.sameCrashWindow <= now; });
    const bool isKnown = std::any_of(request.recentCrashes.begin(), request.recentCrashes.end(),
        [target](const Crash& crash) { return crash.target == target; });
    if (!isKnown) {
        ++request.crashes;
        request.recentCrashes.push_back({ std::string(target), now });
    }
    return request.crashes;
}

auto CrashTracker::crashes(std::uint64_t fingerprint, MonotonicTime now) const -> std::size_t
{
    const auto found = m_requests.find(fingerprint);
    const bool isKnown = found != m_requests.end() && now <= found->second.lastCrashAt + m_options.lifetime;
    return isKnown ? found->second.crashes : 0;
}

// Makes room for one more request.
auto CrashTracker::forgetOldest(MonotonicTime now) -> void
{
    if (m_requests.size() < m_options.maximumRequests)
        return;
    std::erase_if(m_requests, [&](const auto& entry) { return entry.second.lastCrashAt + m_options.lifetime < now; });
    if (m_requests.size() < m_options.maximumRequests)
        return;
    m_requests.erase(std::min_element(m_requests.begin(), m_requests.end(),
        [](const auto& left, const auto& right) { return left.second.lastCrashAt < right.second.lastCrashAt; }));
}

} // namespace coriandergate::dispatch
