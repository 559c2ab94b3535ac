#include "relay/PolicySnapshot.h"

#include <algorithm>

namespace coriandergate::relay {

namespace {

    // Deadlines below this many target latencies leave no time for a wait, a refusal and another target.
    constexpr int slackTargetLatencies = 3;

    auto normalizeHost(std::string_view host) -> std::string
    {
        std::string name(host.substr(0, host.find(':')));
        std::transform(name.begin(), name.end(), name.begin(),
            [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; });
        return name;
    }

} // namespace

PolicySnapshot::PolicySnapshot(config::Configuration configuration)
    : m_configuration(std::make_shared<const config::Configuration>(std::move(configuration)))
    , m_keys(m_configuration)
{
    const auto recordPriority = [this](const std::string& service, int priority) -> void {
        const auto found = m_highestPriority.emplace(service, priority).first;
        found->second = std::min(found->second, priority);
    };
    for (const auto& route : m_configuration->routes) {
        m_routesByHost[normalizeHost(route.host)].push_back(&route);
        m_routes.emplace(route.name, &route);
        recordPriority(route.service, route.priority);
        const bool hasLittleSlack = route.deadline < slackTargetLatencies * route.targetLatency;
        if (hasLittleSlack)
            m_servicesWithLittleSlack.insert(route.service);
        for (const auto& part : route.split) {
            recordPriority(part.service, route.priority);
            if (hasLittleSlack)
                m_servicesWithLittleSlack.insert(part.service);
        }
    }
    for (const auto& account : m_configuration->clientAccounts) {
        m_clientAccounts.emplace(account.name, &account);
        if (!account.isUnlimited)
            m_largestRate = std::max(m_largestRate, account.ratePerSecond);
    }
    for (auto& [host, routes] : m_routesByHost) {
        std::stable_sort(routes.begin(), routes.end(), [](const config::Route* left, const config::Route* right) {
            return left->pathPrefix.size() > right->pathPrefix.size();
        });
    }
}

auto PolicySnapshot::match(std::string_view host, std::string_view path) const -> const config::Route*
{
    const auto found = m_routesByHost.find(normalizeHost(host));
    if (found == m_routesByHost.end())
        return nullptr;
    const auto route = std::find_if(found->second.begin(), found->second.end(),
        [path](const config::Route* candidate) { return path.starts_with(candidate->pathPrefix); });
    return route == found->second.end() ? nullptr : *route;
}

auto PolicySnapshot::requiresApiKeys() const -> bool
{
    return m_configuration->requiresApiKeys || !m_configuration->clientAccounts.empty();
}

auto PolicySnapshot::route(std::string_view name) const -> const config::Route*
{
    const auto found = m_routes.find(name);
    return found == m_routes.end() ? nullptr : found->second;
}

auto PolicySnapshot::clientAccount(std::string_view name) const -> const config::ClientAccount*
{
    const auto found = m_clientAccounts.find(name);
    return found == m_clientAccounts.end() ? nullptr : found->second;
}

auto PolicySnapshot::highestPriority(std::string_view service) const -> int
{
    const auto found = m_highestPriority.find(service);
    return found == m_highestPriority.end() ? 0 : found->second;
}

auto PolicySnapshot::hasLittleSlack(std::string_view service) const -> bool
{
    return m_servicesWithLittleSlack.contains(service);
}

auto PolicySnapshot::accountWeight(const config::ClientAccount& account) const -> double
{
    const double rate = account.isUnlimited ? m_largestRate : account.ratePerSecond;
    return rate > 0 ? rate : 1;
}

auto PolicySnapshot::chooseService(const config::Route& route, std::uint64_t random) -> const std::string&
{
    double totalWeight = 0;
    for (const auto& part : route.split)
        totalWeight += part.weight;
    if (totalWeight <= 0)
        return route.service;
    // The upper 53 bits of `random` give a double in [0, 1).
    double remaining = static_cast<double>(random >> 11) / static_cast<double>(1ULL << 53) * totalWeight;
    for (const auto& part : route.split) {
        remaining -= part.weight;
        if (remaining < 0)
            return part.service;
    }
    return route.split.back().service;
}

} // namespace coriandergate::relay
