#include "sidecar/ConfigurationFeed.h"

#include "base/Error.h"
#include "log/Event.h"
#include "relay/EntryContext.h"
#include "sidecar/Adapter.h"

#include <memory>

namespace coriandergate::sidecar {

namespace {

    const log::Event configurationApplied { 1923, log::Severity::Info, "configuration in force",
        "the version of the configuration" };
    const log::Event configurationRejected { 1924, log::Severity::Error, "configuration refused",
        "the reason names the field; the last valid configuration stays in force" };
    const log::Event limitsChanged { 1933, log::Severity::Info, "limits of a client account changed",
        "the rate per second and the burst over all hosts; 0 for no limit" };

    auto logChangedLimits(const relay::PolicySnapshot& before, const config::Configuration& after) -> void
    {
        for (const auto& account : after.clientAccounts) {
            const auto* known = before.clientAccount(account.name);
            if (known && known->ratePerSecond == account.ratePerSecond && known->burst == account.burst)
                continue;
            log::logEvent(limitsChanged,
                { { "account", account.name }, { "rate", std::to_string(account.ratePerSecond) },
                    { "burst", std::to_string(account.burst) }, { "version", std::to_string(after.version) } });
        }
    }

} // namespace

auto ConfigurationFeed::apply(const std::vector<fleet::StoreRow>& rows, bool) -> bool
{
    bool isChanged = false;
    for (const auto& row : rows) {
        if (row.key == m_adapter.configurationKey && !row.isRemoved)
            isChanged = applyConfiguration(row) || isChanged;
    }
    return isChanged;
}

auto ConfigurationFeed::isOutdated(const fleet::StoreRow& received, const fleet::StoreRow& known) const -> bool
{
    if (received.key != m_adapter.configurationKey)
        return false;
    Error reason; // a row that can't be decoded is reported when it is applied
    const auto receivedConfiguration = m_adapter.decodeConfiguration(received.value, reason);
    const auto knownConfiguration = m_adapter.decodeConfiguration(known.value, reason);
    return receivedConfiguration && knownConfiguration && receivedConfiguration->version < knownConfiguration->version;
}

auto ConfigurationFeed::applyConfiguration(const fleet::StoreRow& row) -> bool
{
    Error reason;
    auto configuration = m_adapter.decodeConfiguration(row.value, reason);
    if (!configuration) {
        log::logEvent(configurationRejected, { { "reason", reason.toText() } });
        return false;
    }
    auto& snapshot = m_context.snapshot;
    // A response that arrives out of order must not restore an older version.
    if (snapshot && configuration->version <= snapshot->configuration().version)
        return false;
    if (snapshot)
        logChangedLimits(*snapshot, *configuration);
    snapshot = std::make_shared<const relay::PolicySnapshot>(std::move(*configuration));
    const auto& applied = snapshot->configuration();
    log::logEvent(configurationApplied,
        { { "version", std::to_string(applied.version) }, { "routes", std::to_string(applied.routes.size()) },
            { "accounts", std::to_string(applied.clientAccounts.size()) },
            { "row-version", std::to_string(row.version) }, { "bytes", std::to_string(row.value.size()) } });
    return true;
}

} // namespace coriandergate::sidecar
