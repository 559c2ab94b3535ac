// Puts the operators' rows of the store in force.
//
//   ConfigurationFeed feed(adapter, settings.knownRegions(), entryContext);
//   if (feed.apply(rows, isSnapshot)) ... // entryContext.snapshot is a new one
#pragma once

#include "fleet/StoreClient.h"

#include <set>
#include <string>
#include <utility>
#include <vector>

namespace coriandergate::relay {
struct EntryContext;
}

namespace coriandergate::sidecar {

struct Adapter;

// ConfigurationFeed is used on the thread of its context; the adapter and the context outlive it.
class ConfigurationFeed {
public:
    // Home regions in a configuration must be among `knownRegions`, if there are any.
    ConfigurationFeed(const Adapter& adapter, std::set<std::string> knownRegions, relay::EntryContext& context)
        : m_adapter(adapter)
        , m_knownRegions(std::move(knownRegions))
        , m_context(context)
    {
    }

    // apply() processes changed rows, or all rows if `isSnapshot`, and returns whether a new configuration is in force.
    // A configuration that can't be decoded is logged, and the last valid one stays in force.
    auto apply(const std::vector<fleet::StoreRow>& rows, bool isSnapshot) -> bool;

private:
    auto applyConfiguration(const fleet::StoreRow& row) -> bool;

    const Adapter& m_adapter;
    std::set<std::string> m_knownRegions;
    relay::EntryContext& m_context;
};

} // namespace coriandergate::sidecar
