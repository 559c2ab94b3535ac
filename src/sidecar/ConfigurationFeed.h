// Puts the operators' rows of the store in force.
//
//   ConfigurationFeed feed(adapter, settings, entryContext);
//   if (feed.apply(rows, isSnapshot, now)) ... // entryContext.snapshot is a new one
#pragma once

#include "base/Clock.h"
#include "fleet/StoreClient.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace coriandergate::relay {
struct EntryContext;
}

namespace coriandergate::sidecar {

struct Adapter;
struct HostSettings;

// ConfigurationFeed is used on the thread of its context; the adapter and the context outlive it.
class ConfigurationFeed {
public:
    // Data centres and home regions must be among those of `settings`, if it has any.
    ConfigurationFeed(const Adapter& adapter, const HostSettings& settings, relay::EntryContext& context);

    // apply() processes changed rows, or all rows if `isSnapshot`, and returns whether a new configuration is in force.
    // A configuration that can't be decoded is logged, and the last valid one stays in force. Evacuations begin and end
    // with their rows; one of an unknown data centre is logged and skipped.
    auto apply(const std::vector<fleet::StoreRow>& rows, bool isSnapshot, MonotonicTime now) -> bool;

    // onStoreRestored() is called when the store came back from an older copy: evacuations that it lacks then stay in
    // force for a while. endUnconfirmedEvacuations() ends those that the operator hasn't written again by then, and
    // returns whether there are any.
    auto onStoreRestored(MonotonicTime now) -> void;
    auto endUnconfirmedEvacuations(MonotonicTime now) -> bool;

    // isOutdated() returns whether `received` is a configuration of an earlier version than `known`, as a store returns
    // it after it came back from an older copy.
    [[nodiscard]] auto isOutdated(const fleet::StoreRow& received, const fleet::StoreRow& known) const -> bool;

private:
    [[nodiscard]] auto evacuatedBy(const fleet::StoreRow& row) const -> std::optional<std::string>;
    auto applyEvacuation(const fleet::StoreRow& row, MonotonicTime now) -> void;
    auto endEvacuation(const std::string& dataCentre, MonotonicTime now) -> void;
    auto endMissingEvacuations(const std::vector<fleet::StoreRow>& rows, MonotonicTime now) -> void;
    auto applyConfiguration(const fleet::StoreRow& row) -> bool;

    const Adapter& m_adapter;
    std::set<std::string> m_knownDataCentres;
    std::set<std::string> m_knownRegions;
    std::map<std::string, std::uint64_t> m_evacuationVersions; // of the last rows received, including removed ones
    relay::EntryContext& m_context;
};

} // namespace coriandergate::sidecar
