#include "dispatch/Evacuations.h"

#include <algorithm>

namespace coriandergate::dispatch {

using std::chrono::milliseconds;

auto Evacuations::begin(const std::string& dataCentre, MonotonicTime now) -> bool
{
    m_returnedAt.erase(dataCentre);
    m_doubts.erase(dataCentre);
    return m_evacuatedSince.emplace(dataCentre, now).second;
}

auto Evacuations::end(const std::string& dataCentre, MonotonicTime now) -> bool
{
    m_doubts.erase(dataCentre);
    if (m_evacuatedSince.erase(dataCentre) == 0)
        return false;
    m_returnedAt[dataCentre] = now;
    return true;
}

auto Evacuations::requireConfirmation(MonotonicTime now) -> void
{
    for (const auto& [dataCentre, since] : m_evacuatedSince)
        m_doubts[dataCentre] = { now + m_options.confirmationTime };
}

auto Evacuations::endMissing(const std::string& dataCentre, MonotonicTime now) -> bool
{
    const auto doubt = m_doubts.find(dataCentre);
    if (doubt == m_doubts.end() || now >= doubt->second.until)
        return end(dataCentre, now);
    doubt->second.isMissing = true;
    return false;
}

auto Evacuations::unconfirmed(MonotonicTime now) const -> std::vector<std::string>
{
    std::vector<std::string> names;
    for (const auto& [dataCentre, doubt] : m_doubts) {
        if (doubt.isMissing && now >= doubt.until)
            names.push_back(dataCentre);
    }
    return names;
}

auto Evacuations::isEvacuated(std::string_view dataCentre) const -> bool
{
    return m_evacuatedSince.find(dataCentre) != m_evacuatedSince.end();
}

auto Evacuations::evacuated() const -> std::vector<std::string>
{
    std::vector<std::string> names;
    for (const auto& [dataCentre, since] : m_evacuatedSince)
        names.push_back(dataCentre);
    return names;
}

auto Evacuations::age(std::string_view dataCentre, MonotonicTime now) const -> std::optional<milliseconds>
{
    const auto found = m_evacuatedSince.find(dataCentre);
    if (found == m_evacuatedSince.end())
        return std::nullopt;
    return std::chrono::duration_cast<milliseconds>(now - found->second);
}

auto Evacuations::oldestAge(MonotonicTime now) const -> std::optional<milliseconds>
{
    std::optional<milliseconds> oldest;
    for (const auto& [dataCentre, since] : m_evacuatedSince)
        oldest = std::max(oldest.value_or(milliseconds { 0 }), std::chrono::duration_cast<milliseconds>(now - since));
    return oldest;
}

auto Evacuations::returnedAt(std::string_view dataCentre) const -> std::optional<MonotonicTime>
{
    const auto found = m_returnedAt.find(dataCentre);
    return found == m_returnedAt.end() ? std::nullopt : std::optional(found->second);
}

auto Evacuations::returnShare(std::string_view dataCentre, MonotonicTime now) const -> double
{
    if (isEvacuated(dataCentre))
        return 0;
    const auto returned = returnedAt(dataCentre);
    if (!returned)
        return 1;
    const std::chrono::duration<double> sinceReturn = now - *returned;
    const std::chrono::duration<double> returnTime = m_options.returnTime;
    return std::clamp(sinceReturn / returnTime, 0.0, 1.0);
}

auto Evacuations::concernChoice(MonotonicTime now) const -> bool
{
    return !m_evacuatedSince.empty() || std::any_of(m_returnedAt.begin(), m_returnedAt.end(), [&](const auto& entry) {
        return now < entry.second + m_options.returnTime;
    });
}

} // namespace coriandergate::dispatch
