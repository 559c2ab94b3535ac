#include "relay/CrashRegistry.h"

#include "base/Error.h"
#include "fleet/CrashRow.h"
#include "fleet/HostDirectory.h"
#include "http/Exchange.h"
#include "http/Status.h"
#include "log/Event.h"
#include "relay/PeerMessages.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace coriandergate::relay {

namespace {

    const log::Event requestMarked { 1937, log::Severity::Warning, "request crashes targets",
        "no host retries it; find its callers by the attempts that ended with connection-lost" };
    const log::Event markWrittenAgain { 1977, log::Severity::Info, "mark of a crashing request written again",
        "the store came back from an older copy without it" };
    const log::Event requestUnmarked { 1938, log::Severity::Info, "request no longer crashes targets", "nothing" };

} // namespace

CrashRegistry::CrashRegistry(const fleet::HostDirectory& directory, fleet::StoreClient& store, Options options)
    : m_directory(directory)
    , m_store(store)
    , m_options(std::move(options))
{
}

auto CrashRegistry::handle(const std::shared_ptr<http::Exchange>& exchange) -> void
{
    Error reason;
    const auto report = decodeCrashReport(exchange->request().body, reason);
    exchange->answer(report
            ? http::makeAnswer(http::statusOk, "text/plain", encodeCrashes(recordAndMark(*report, monotonicNow())))
            : http::makeAnswer(http::statusBadRequest, "text/plain", reason.toText()));
}

auto CrashRegistry::record(const CrashReport& report, MonotonicTime now) -> std::size_t
{
    if (!report.hasSucceeded)
        return m_tracker.recordCrash(report.fingerprint, report.target, now);
    m_tracker.recordSuccess(report.fingerprint);
    return 0;
}

auto CrashRegistry::recordAndMark(const CrashReport& report, MonotonicTime now) -> std::size_t
{
    const auto crashes = record(report, now);
    if (report.hasSucceeded)
        unmark(report.fingerprint, now);
    else if (crashes >= dispatch::CrashTracker::s_maximumCrashes || crashesTargets(report.fingerprint))
        mark(report.fingerprint, crashes, now);
    return crashes;
}

auto CrashRegistry::tryBeginSuccessReport(std::uint64_t fingerprint, MonotonicTime now) -> bool
{
    return (m_tracker.crashes(fingerprint, now) > 0 || crashesTargets(fingerprint))
        && m_recentSuccessReports.tryAdd(fingerprint, now);
}

auto CrashRegistry::crashesTargets(std::uint64_t fingerprint) const -> bool
{
    return m_directory.crashesTargets(fingerprint);
}

auto CrashRegistry::hasMarks() const -> bool { return m_directory.crashingRequests() > 0; }

auto CrashRegistry::mark(std::uint64_t fingerprint, std::size_t crashes, MonotonicTime now) -> void
{
    const auto storeTime = m_storeClock ? m_storeClock() : std::nullopt;
    const auto rows = m_directory.crashRows(fingerprint);
    const bool isRecent = std::any_of(rows.begin(), rows.end(),
        [&](const auto& row) { return storeTime && row.second + m_options.refreshAfter > *storeTime; });
    const bool isFull = rows.empty() && m_directory.crashingRequests() >= m_options.maximumMarks;
    const auto key = fleet::crashRowKey(m_options.region, fingerprint);
    if (!storeTime || isRecent || isFull || !m_recentWrites.tryAdd(key, now))
        return;
    log::logEvent(requestMarked, { { "key", key }, { "crashes", std::to_string(crashes) } });
    write(key, fleet::encodeCrashRow(*storeTime));
}

auto CrashRegistry::unmark(std::uint64_t fingerprint, MonotonicTime now) -> void
{
    for (const auto& [key, lastCrashAt] : m_directory.crashRows(fingerprint)) {
        if (!m_recentWrites.tryAdd(key, now))
            continue;
        log::logEvent(requestUnmarked, { { "key", key } });
        write(key, std::nullopt);
    }
}

auto CrashRegistry::onHostsChanged() -> void
{
    if (std::exchange(m_mustCheckMarks, false))
        restoreLostMarks();
    else
        forgetRemovedMarks();
}

// Another host may have removed a mark after a success of the request.
auto CrashRegistry::forgetRemovedMarks() -> void
{
    for (auto it = m_marks.begin(); it != m_marks.end();) {
        auto& mark = it->second;
        const bool isStored = m_directory.version(it->first) > 0;
        const bool isRemoved = mark.isSeen && !isStored;
        mark.isSeen = isStored;
        it = isRemoved ? m_marks.erase(it) : std::next(it);
    }
}

auto CrashRegistry::restoreLostMarks() -> void
{
    const auto storeTime = m_storeClock ? m_storeClock() : std::nullopt;
    const auto marks = m_marks;
    for (const auto& [key, mark] : marks) {
        Error reason;
        const auto lastCrashAt = fleet::decodeCrashRow(key, mark.value, reason);
        const bool isExpired = !lastCrashAt || (storeTime && *lastCrashAt + s_markLifetime < *storeTime);
        if (isExpired || m_directory.version(key) > 0)
            continue;
        ++m_marksWrittenAgain;
        log::logEvent(markWrittenAgain, { { "key", key } });
        write(key, mark.value);
    }
}

auto CrashRegistry::write(const std::string& key, std::optional<std::string> value) -> void
{
    m_marks.erase(key);
    if (value && m_marks.size() < m_options.maximumMarks)
        m_marks.emplace(key, WrittenMark { .value = *value });
    m_store.write(
        { m_options.table, key, m_directory.version(key), std::move(value) }, [](const fleet::StoreClient::Result&) {
            // If the write failed, the next crash or success of the request tries it again.
        });
}

} // namespace coriandergate::relay
