// An accepted configuration, indexed for request routing.
//
//   const auto snapshot = std::make_shared<const PolicySnapshot>(std::move(configuration));
//   if (const auto* route = snapshot->match("orders.example", "/lines/7?page=2")) ...
#pragma once

#include "config/Configuration.h"
#include "config/KeyIndex.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace coriandergate::relay {

// PolicySnapshot is immutable.
class PolicySnapshot {
public:
    explicit PolicySnapshot(config::Configuration configuration);

    // match() returns the route of `host` with the longest path prefix that matches `path` byte by byte, or null. The
    // case of `host` and its port are ignored.
    [[nodiscard]] auto match(std::string_view host, std::string_view path) const -> const config::Route*;

    [[nodiscard]] auto configuration() const -> const config::Configuration& { return *m_configuration; }
    [[nodiscard]] auto keys() const -> const config::KeyIndex& { return m_keys; }

    // requiresApiKeys() returns whether a route that isn't open needs an API key. Without client accounts no key is
    // valid, so such routes are closed.
    [[nodiscard]] auto requiresApiKeys() const -> bool;

    // route() returns the route called `name`, or null.
    [[nodiscard]] auto route(std::string_view name) const -> const config::Route*;

    // clientAccount() returns the account called `name`, or null.
    [[nodiscard]] auto clientAccount(std::string_view name) const -> const config::ClientAccount*;

    // highestPriority() returns the highest priority, which is the lowest number, of the routes to `service`; 0 when
    // there is no such route.
    [[nodiscard]] auto highestPriority(std::string_view service) const -> int;

    // hasLittleSlack() returns whether some route to `service` leaves little time beyond its target latency. Its
    // callers compete for little room and have no time for another round.
    [[nodiscard]] auto hasLittleSlack(std::string_view service) const -> bool;

    // accountWeight() is the weight of an account in queues: the requests a second that it is granted. An account
    // without a limit weighs as much as the largest of the others.
    [[nodiscard]] auto accountWeight(const config::ClientAccount& account) const -> double;

    // chooseService() returns the service that a request of `route` goes to. When the route splits its traffic,
    // `random` selects a part with a probability proportional to its weight.
    [[nodiscard]] static auto chooseService(const config::Route& route, std::uint64_t random) -> const std::string&;

private:
    std::shared_ptr<const config::Configuration> m_configuration;
    config::KeyIndex m_keys;
    std::map<std::string, int, std::less<>> m_highestPriority; // by service
    std::set<std::string, std::less<>> m_servicesWithLittleSlack;
    double m_largestRate = 0; // of the accounts with a limit; 0 when there is none
    std::map<std::string, const config::ClientAccount*, std::less<>> m_clientAccounts; // by name
    std::map<std::string, const config::Route*, std::less<>> m_routes; // by name
    std::map<std::string, std::vector<const config::Route*>, std::less<>> m_routesByHost; // longest path prefix first
};

} // namespace coriandergate::relay
