// One accepted configuration, prepared for the path of requests.
//
//   const auto snapshot = std::make_shared<const PolicySnapshot>(std::move(configuration));
//   if (const auto* route = snapshot->match("orders.example", "/lines/7?page=2")) ...
#pragma once

#include "config/Configuration.h"
#include "config/KeyIndex.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace coriandergate::relay {

// PolicySnapshot is immutable.
class PolicySnapshot {
public:
    explicit PolicySnapshot(config::Configuration configuration);

    // match() is the route of the request's host whose prefix is the longest that begins its path, byte by byte; null
    // when there is none. A port in `host` is ignored, and so is its case.
    [[nodiscard]] auto match(std::string_view host, std::string_view path) const -> const config::Route*;

    [[nodiscard]] auto configuration() const -> const config::Configuration& { return *m_configuration; }
    [[nodiscard]] auto keys() const -> const config::KeyIndex& { return m_keys; }

    // clientAccount() is the account of that name; null when there is none.
    [[nodiscard]] auto clientAccount(std::string_view name) const -> const config::ClientAccount*;

    // mostUrgent() is the priority of the most urgent route to `service`; 0 when none leads there.
    [[nodiscard]] auto highestPriority(std::string_view service) const -> int;

    // serviceFor() is the service that a request of `route` goes to; `random` draws among the parts of a split.
    [[nodiscard]] static auto chooseService(const config::Route& route, std::uint64_t random) -> const std::string&;

private:
    std::shared_ptr<const config::Configuration> m_configuration;
    config::KeyIndex m_keys;
    std::map<std::string, int, std::less<>> m_highestPriority; // by service
    std::map<std::string, const config::ClientAccount*, std::less<>> m_clientAccounts; // by name
    std::map<std::string, std::vector<const config::Route*>, std::less<>> m_byHost; // longest prefix first
};

} // namespace coriandergate::relay
