// Puts the operators' rows of the store in force.
//
//   ConfigurationFeed feed(adapter, entryContext);
//   if (feed.apply(rows, isSnapshot)) ... // entryContext.snapshot is a new one
#pragma once

#include "fleet/StoreClient.h"

#include <vector>

namespace coriandergate::relay {
struct EntryContext;
}

namespace coriandergate::sidecar {

struct Adapter;

// ConfigurationFeed is used on the thread of its context; the adapter and the context outlive it.
class ConfigurationFeed {
public:
    ConfigurationFeed(const Adapter& adapter, relay::EntryContext& context)
        : m_adapter(adapter)
        , m_context(context)
    {
    }

    // apply() processes changed rows, or all rows if `isSnapshot`, and returns whether a new configuration is in force.
    // A configuration that can't be decoded is logged, and the last valid one stays in force.
    auto apply(const std::vector<fleet::StoreRow>& rows, bool isSnapshot) -> bool;

    // isOutdated() returns whether `received` is a configuration of an earlier version than `known`, as a store returns
    // it after it came back from an older copy.
    [[nodiscard]] auto isOutdated(const fleet::StoreRow& received, const fleet::StoreRow& known) const -> bool;

private:
    auto applyConfiguration(const fleet::StoreRow& row) -> bool;

    const Adapter& m_adapter;
    relay::EntryContext& m_context;
};

} // namespace coriandergate::sidecar
