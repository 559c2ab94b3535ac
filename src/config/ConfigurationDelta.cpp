#include "config/ConfigurationDelta.h"

#include "config/Configuration.h"
#include "config/EntryCodec.h"
#include "config/SnapshotCodec.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

namespace coriandergate::config {

namespace {

    template <typename Entry>
    auto changesBetween(const std::vector<Entry>& before, const std::vector<Entry>& after) -> EntryChanges<Entry>
    {
        EntryChanges<Entry> changes;
        auto old = before.begin();
        auto now = after.begin();
        while (old != before.end() || now != after.end()) {
            if (now == after.end() || (old != before.end() && old->name < now->name)) {
                changes.removed.push_back((old++)->name);
            } else if (old == before.end() || now->name < old->name) {
                changes.added.push_back(*now++);
            } else {
                if (*old != *now)
                    changes.changed.push_back(*now);
                ++old;
                ++now;
            }
        }
        return changes;
    }

    template <typename Entry>
    auto applyChanges(const std::vector<Entry>& before, const EntryChanges<Entry>& changes) -> std::vector<Entry>
    {
        std::set<std::string_view> replaced(changes.removed.begin(), changes.removed.end());
        for (const auto& entry : changes.changed)
            replaced.insert(entry.name);
        std::vector<Entry> after;
        after.reserve(before.size() + changes.added.size());
        std::copy_if(before.begin(), before.end(), std::back_inserter(after),
            [&replaced](const Entry& entry) { return !replaced.contains(entry.name); });
        after.insert(after.end(), changes.added.begin(), changes.added.end());
        after.insert(after.end(), changes.changed.begin(), changes.changed.end());
        std::sort(
            after.begin(), after.end(), [](const Entry& left, const Entry& right) { return left.name < right.name; });
        return after;
    }

    template <typename Entry> auto toValue(const EntryChanges<Entry>& changes) -> nlohmann::json
    {
        return { { "added", changes.added }, { "changed", changes.changed }, { "removed", changes.removed } };
    }

    template <typename Entry> auto fromValue(const nlohmann::json& value) -> EntryChanges<Entry>
    {
        return { value.at("added").get<std::vector<Entry>>(), value.at("changed").get<std::vector<Entry>>(),
            value.at("removed").get<std::vector<std::string>>() };
    }

} // namespace

auto deltaBetween(const Configuration& before, const Configuration& after) -> ConfigurationDelta
{
    return { headOf(before), headOf(after), changesBetween(before.services, after.services),
        changesBetween(before.clientAccounts, after.clientAccounts), changesBetween(before.routes, after.routes) };
}

auto applyDelta(const Configuration& before, const ConfigurationDelta& delta, Error& reason)
    -> std::optional<Configuration>
{
    if (delta.from.version != before.version) {
        reason
            = { "apply delta", delta.from.toText(), "it does not start at version " + std::to_string(before.version) };
        return std::nullopt;
    }
    Configuration after;
    after.version = delta.to.version;
    after.services = applyChanges(before.services, delta.services);
    after.clientAccounts = applyChanges(before.clientAccounts, delta.clientAccounts);
    after.routes = applyChanges(before.routes, delta.routes);
    if (headOf(after) != delta.to) {
        reason = { "apply delta", delta.to.toText(), "the result does not have the digest" };
        return std::nullopt;
    }
    return after;
}

auto encodeDelta(const ConfigurationDelta& delta) -> std::string
{
    const nlohmann::json value { { "from", delta.from }, { "to", delta.to }, { "services", toValue(delta.services) },
        { "clientAccounts", toValue(delta.clientAccounts) }, { "routes", toValue(delta.routes) } };
    std::string bytes;
    nlohmann::json::to_cbor(value, bytes);
    return bytes;
}

auto decodeDelta(std::string_view bytes, Error& reason) -> std::optional<ConfigurationDelta>
{
    try {
        const auto value = nlohmann::json::from_cbor(bytes.begin(), bytes.end());
        return ConfigurationDelta { value.at("from").get<ConfigurationHead>(), value.at("to").get<ConfigurationHead>(),
            fromValue<Service>(value.at("services")), fromValue<ClientAccount>(value.at("clientAccounts")),
            fromValue<Route>(value.at("routes")) };
    } catch (const nlohmann::json::exception& exception) {
        reason = { "decode delta", {}, exception.what() };
        return std::nullopt;
    }
}

} // namespace coriandergate::config
