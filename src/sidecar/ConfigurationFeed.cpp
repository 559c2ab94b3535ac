#include "sidecar/ConfigurationFeed.h"

#include "base/Clock.h"
#include "base/Error.h"
#include "dispatch/HomeRegions.h"
#include "dispatch/StalenessTracker.h"
#include "log/Event.h"
#include "relay/EntryContext.h"
#include "sidecar/Adapter.h"
#include "sidecar/HostSettings.h"

#include <algorithm>
#include <memory>

namespace coriandergate::sidecar {

namespace {

    const log::Event configurationApplied { 1923, log::Severity::Info, "configuration in force",
        "the version of the configuration, and how old the news of it may be" };
    const log::Event configurationRejected { 1924, log::Severity::Error, "configuration refused",
        "the reason names the field; the last valid configuration stays in force" };
    const log::Event limitsChanged { 1933, log::Severity::Info, "limits of a client account changed",
        "the rate per second and the burst over all hosts; 0 for no limit" };

    const log::Event homesChanged { 1965, log::Severity::Info, "home regions changed",
        "the regions in which requests of the route or the client account are executed from now on; none for all" };

    const log::Event evacuationBegun { 1966, log::Severity::Info, "data centre evacuated",
        "nothing new is sent to its targets from here; what runs there ends" };
    const log::Event evacuationEnded { 1967, log::Severity::Info, "data centre taken back",
        "its targets get their share of the requests back within a few seconds" };
    const log::Event evacuationOdd { 1968, log::Severity::Warning, "evacuation odd",
        "the row's key and what is wrong with it; the data centre is evacuated only if taken says so" };

    const log::Event evacuationKept { 1969, log::Severity::Warning, "evacuation kept",
        "the store came back from an older copy without its row; it ends unless it is written again within 10 s" };

    auto logEnd(const std::string& dataCentre, std::chrono::milliseconds age) -> void
    {
        log::logEvent(evacuationEnded, { { "data-centre", dataCentre }, { "age-ms", std::to_string(age.count()) } });
    }

    auto logHomes(std::string_view kind, const std::string& name, const std::vector<std::string>& regions) -> void
    {
        log::logEvent(homesChanged, { { kind, name }, { "regions", dispatch::HomeRegions(regions).toText() } });
    }

    auto logChangedHomes(const relay::PolicySnapshot* before, const config::Configuration& after) -> void
    {
        for (const auto& route : after.routes) {
            const auto* known = before ? before->route(route.name) : nullptr;
            if (route.homeRegions != (known ? known->homeRegions : std::vector<std::string> {}))
                logHomes("route", route.name, route.homeRegions);
        }
        for (const auto& account : after.clientAccounts) {
            const auto* known = before ? before->clientAccount(account.name) : nullptr;
            if (account.homeRegions != (known ? known->homeRegions : std::vector<std::string> {}))
                logHomes("account", account.name, account.homeRegions);
        }
    }

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

ConfigurationFeed::ConfigurationFeed(const Adapter& adapter, const HostSettings& settings, relay::EntryContext& context)
    : m_adapter(adapter)
    , m_knownRegions(settings.knownRegions())
    , m_context(context)
{
    for (const auto& [dataCentre, region] : settings.regionByDataCentre)
        m_knownDataCentres.insert(dataCentre);
}

auto ConfigurationFeed::apply(const std::vector<fleet::StoreRow>& rows, bool isSnapshot, MonotonicTime now) -> bool
{
    if (isSnapshot)
        endMissingEvacuations(rows, now);
    bool isChanged = false;
    for (const auto& row : rows) {
        if (evacuatedBy(row))
            applyEvacuation(row, now);
        else if (row.key == m_adapter.configurationKey && !row.isRemoved)
            isChanged = applyConfiguration(row) || isChanged;
    }
    return isChanged;
}

auto ConfigurationFeed::evacuatedBy(const fleet::StoreRow& row) const -> std::optional<std::string>
{
    const auto& prefix = m_adapter.evacuationPrefix;
    return !prefix.empty() && row.key.starts_with(prefix) ? std::optional(row.key.substr(prefix.size())) : std::nullopt;
}

auto ConfigurationFeed::applyEvacuation(const fleet::StoreRow& row, MonotonicTime now) -> void
{
    const auto dataCentre = evacuatedBy(row).value_or("");
    // A response that arrives out of order must not restore an earlier state.
    auto& version = m_evacuationVersions[row.key];
    if (row.version < version)
        return;
    version = row.version;
    if (row.isRemoved) {
        endEvacuation(dataCentre, now);
        return;
    }
    if (dataCentre.empty() || (!m_knownDataCentres.empty() && !m_knownDataCentres.contains(dataCentre))) {
        log::logEvent(evacuationOdd, { { "key", row.key }, { "why", "unknown data centre" }, { "taken", "no" } });
        return;
    }
    Error reason;
    if (!m_adapter.isSoundEvacuation(row.value, reason))
        log::logEvent(evacuationOdd, { { "key", row.key }, { "why", reason.toText() }, { "taken", "yes" } });
    if (m_context.evacuations.begin(dataCentre, now))
        log::logEvent(
            evacuationBegun, { { "data-centre", dataCentre }, { "row-version", std::to_string(row.version) } });
}

auto ConfigurationFeed::onStoreRestored(MonotonicTime now) -> void { m_context.evacuations.requireConfirmation(now); }

auto ConfigurationFeed::endUnconfirmedEvacuations(MonotonicTime now) -> bool
{
    const auto unconfirmed = m_context.evacuations.unconfirmed(now);
    for (const auto& dataCentre : unconfirmed)
        endEvacuation(dataCentre, now);
    return !unconfirmed.empty();
}

auto ConfigurationFeed::endEvacuation(const std::string& dataCentre, MonotonicTime now) -> void
{
    const auto age = m_context.evacuations.age(dataCentre, now);
    if (m_context.evacuations.end(dataCentre, now))
        logEnd(dataCentre, *age);
}

auto ConfigurationFeed::endMissingEvacuations(const std::vector<fleet::StoreRow>& rows, MonotonicTime now) -> void
{
    m_evacuationVersions.clear();
    for (const auto& dataCentre : m_context.evacuations.evacuated()) {
        const auto key = m_adapter.evacuationPrefix + dataCentre;
        if (std::any_of(rows.begin(), rows.end(), [&](const auto& row) { return row.key == key; }))
            continue;
        const auto age = m_context.evacuations.age(dataCentre, now);
        if (m_context.evacuations.endMissing(dataCentre, now))
            logEnd(dataCentre, *age);
        else
            log::logEvent(evacuationKept, { { "data-centre", dataCentre } });
    }
}

auto ConfigurationFeed::isOutdated(const fleet::StoreRow& received, const fleet::StoreRow& known) const -> bool
{
    if (received.key != m_adapter.configurationKey)
        return false;
    Error reason; // a row that can't be decoded is reported when it is applied
    const auto receivedConfiguration = m_adapter.decodeConfiguration(received.value, reason, m_knownRegions);
    const auto knownConfiguration = m_adapter.decodeConfiguration(known.value, reason, m_knownRegions);
    return receivedConfiguration && knownConfiguration && receivedConfiguration->version < knownConfiguration->version;
}

auto ConfigurationFeed::applyConfiguration(const fleet::StoreRow& row) -> bool
{
    Error reason;
    auto configuration = m_adapter.decodeConfiguration(row.value, reason, m_knownRegions);
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
    logChangedHomes(snapshot.get(), *configuration);
    snapshot = std::make_shared<const relay::PolicySnapshot>(std::move(*configuration));
    const auto& applied = snapshot->configuration();
    const auto age = m_context.configurationFreshness.age(SuspendAwareClock::now());
    log::logEvent(configurationApplied,
        { { "version", std::to_string(applied.version) }, { "routes", std::to_string(applied.routes.size()) },
            { "accounts", std::to_string(applied.clientAccounts.size()) },
            { "row-version", std::to_string(row.version) }, { "bytes", std::to_string(row.value.size()) },
            { "proof-age-ms", age ? std::to_string(age->count()) : "" } });
    return true;
}

} // namespace coriandergate::sidecar
