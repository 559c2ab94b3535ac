#include "control/Plan.h"

#include "config/Configuration.h"
#include "config/ConfigurationDelta.h"
#include "config/Declaration.h"
#include "config/EntryCodec.h"
#include "config/FindByName.h"
#include "control/KnownTargets.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

namespace coriandergate::control {

namespace {

    using config::ClientAccount;
    using config::Configuration;
    using config::EntryChanges;
    using config::findByName;
    using config::Route;
    using config::Service;

    constexpr std::string_view everyAccount = "*";

    // Collects a plan entry by entry.
    class Planner {
    public:
        Planner(const Configuration& base, const Configuration& intended, const KnownTargets& targets)
            : m_base(base)
            , m_intended(intended)
            , m_targets(targets)
        {
        }

        auto run() -> Plan
        {
            const auto delta = config::deltaBetween(m_base, m_intended);
            m_plan.base = delta.from;
            m_plan.target = delta.to;
            listChanges("services", delta.services, m_base.services);
            listChanges("clientAccounts", delta.clientAccounts, m_base.clientAccounts);
            listChanges("routes", delta.routes, m_base.routes);
            checkServices(delta.services);
            checkAccounts(delta.clientAccounts);
            checkRoutes(delta.routes);
            m_plan.clientAccounts.assign(m_accounts.begin(), m_accounts.end());
            if (m_accounts.contains(std::string(everyAccount)))
                m_plan.clientAccounts = { std::string(everyAccount) };
            m_plan.services.assign(m_services.begin(), m_services.end());
            return std::move(m_plan);
        }

    private:
        template <typename Entry>
        auto listChanges(const char* section, const EntryChanges<Entry>& changes, const std::vector<Entry>& before)
            -> void
        {
            for (const auto& entry : changes.added)
                m_plan.changes.push_back({ section, entry.name, "added", {} });
            for (const auto& entry : changes.changed)
                m_plan.changes.push_back(
                    { section, entry.name, "changed", fieldChanges(*findByName(before, entry.name), entry) });
            for (const auto& name : changes.removed)
                m_plan.changes.push_back({ section, name, "removed", {} });
        }

        template <typename Entry>
        static auto fieldChanges(const Entry& before, const Entry& after) -> std::vector<std::string>
        {
            const nlohmann::json old(before);
            const nlohmann::json now(after);
            auto either = old;
            either.update(now);
            std::vector<std::string> fields;
            for (const auto& [name, value] : either.items()) {
                const auto from = old.contains(name) ? old[name].dump() : "default";
                const auto to = now.contains(name) ? now[name].dump() : "default";
                if (from != to)
                    fields.push_back(name + ": " + from + " -> " + to);
            }
            return fields;
        }

        auto checkServices(const EntryChanges<Service>& changes) -> void
        {
            for (const auto* list : { &changes.added, &changes.changed }) {
                for (const auto& service : *list)
                    checkService(service);
            }
            for (const auto& name : changes.removed)
                m_services.insert(name);
        }

        auto checkService(const Service& service) -> void
        {
            m_services.insert(service.name);
            const auto count = m_targets.of(service.name);
            const auto least
                = static_cast<std::size_t>(std::ceil(service.healthyFloor * static_cast<double>(count.announced)));
            if (count.healthy < least)
                warn("floorNotMet", service.name,
                    "the floor asks for " + std::to_string(least) + " healthy targets and "
                        + std::to_string(count.healthy) + " of " + std::to_string(count.announced) + " are");
            auto named = service.preferredDataCentres;
            for (const auto& placement : service.placements)
                named.insert(named.end(), placement.dataCentres.begin(), placement.dataCentres.end());
            const std::set<std::string> dataCentres(named.begin(), named.end());
            const auto found = m_targets.byService.find(service.name);
            for (const auto& dataCentre : dataCentres) {
                if (found == m_targets.byService.end() || !found->second.contains(dataCentre))
                    warn("dataCentreWithoutTarget", service.name, "no target is known in data centre " + dataCentre);
            }
        }

        auto checkAccounts(const EntryChanges<ClientAccount>& changes) -> void
        {
            for (const auto& account : changes.added)
                m_accounts.insert(account.name);
            for (const auto& account : changes.changed) {
                m_accounts.insert(account.name);
                checkAccount(*findByName(m_base.clientAccounts, account.name), account);
            }
            for (const auto& name : changes.removed) {
                m_accounts.insert(name);
                warn("accountRemoved", name, "every key of the account stops working");
            }
        }

        auto checkAccount(const ClientAccount& before, const ClientAccount& after) -> void
        {
            if (after.ratePerSecond < before.ratePerSecond)
                warn("rateCut", after.name, "the rate falls " + fromTo(before.ratePerSecond, after.ratePerSecond));
            if (after.burst < before.burst)
                warn("burstCut", after.name, "the burst falls " + fromTo(before.burst, after.burst));
            std::vector<std::string> withdrawn;
            std::set_difference(before.keyDigests.begin(), before.keyDigests.end(), after.keyDigests.begin(),
                after.keyDigests.end(), std::back_inserter(withdrawn));
            if (!withdrawn.empty())
                warn("keyWithdrawn", after.name,
                    std::to_string(withdrawn.size()) + " of " + std::to_string(before.keyDigests.size())
                        + " keys stop working");
        }

        auto checkRoutes(const EntryChanges<Route>& changes) -> void
        {
            for (const auto& route : changes.added)
                checkRoute(nullptr, route);
            for (const auto& route : changes.changed)
                checkRoute(findByName(m_base.routes, route.name), route);
            for (const auto& name : changes.removed) {
                touch(*findByName(m_base.routes, name));
                warn("routeRemoved", name, "requests of the route find none, or a shorter one");
            }
        }

        auto checkRoute(const Route* before, const Route& after) -> void
        {
            touch(after);
            if (before != nullptr)
                touch(*before);
            const auto isServed = m_targets.of(after.service).announced > 0;
            if (!isServed && before != nullptr && m_targets.of(before->service).announced > 0)
                warn("routeLosesLastTarget", after.name, "service " + after.service + " has no target");
            else if (!isServed)
                warn("routeWithoutTarget", after.name, "service " + after.service + " has no target");
            if (before == nullptr)
                return;
            if (before->repeatPolicy == config::RepeatPolicy::OnceOnly && after.repeatPolicy != before->repeatPolicy)
                warn("repeatAllowed", after.name, "requests that ran at most once may run again");
            if (before->isOpen && !after.isOpen)
                warn("routeClosed", after.name, "requests without a key are refused");
            if (!before->isOpen && after.isOpen)
                warn("routeOpened", after.name, "requests without a key are served");
        }

        auto touch(const Route& route) -> void
        {
            m_services.insert(route.service);
            m_accounts.insert(route.clientAccounts.begin(), route.clientAccounts.end());
            if (route.clientAccounts.empty())
                m_accounts.insert(std::string(everyAccount));
        }

        auto warn(std::string kind, const std::string& entry, std::string text) -> void
        {
            m_plan.warnings.push_back({ std::move(kind), entry, std::move(text) });
        }

        static auto fromTo(double before, double after) -> std::string
        {
            return "from " + nlohmann::json(before).dump() + " to " + nlohmann::json(after).dump();
        }

        const Configuration& m_base;
        const Configuration& m_intended;
        const KnownTargets& m_targets;
        Plan m_plan;
        std::set<std::string> m_accounts;
        std::set<std::string> m_services;
    };

} // namespace

auto intendedConfiguration(const Configuration& base, const config::Declaration& declaration) -> Configuration
{
    auto intended = declaration.configuration;
    intended.version = base.version + 1;
    for (auto& account : intended.clientAccounts) {
        if (!declaration.accountsWithManagedKeys.contains(account.name))
            continue;
        if (const auto* before = findByName(base.clientAccounts, account.name))
            account.keyDigests = before->keyDigests;
    }
    return intended;
}

auto planChange(const Configuration& base, const Configuration& intended, const KnownTargets& targets) -> Plan
{
    return Planner(base, intended, targets).run();
}

} // namespace coriandergate::control
