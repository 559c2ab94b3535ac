#include "relay/CrashReporter.h"

#include "base/Hash.h"
#include "fleet/HostDirectory.h"
#include "http/Status.h"
#include "relay/CrashRegistry.h"
#include "relay/EntryContext.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace coriandergate::relay {

auto CrashReporter::start(EntryContext& context, CrashReport report, Callback callback)
    -> std::shared_ptr<CrashReporter>
{
    const auto reporter = std::make_shared<CrashReporter>(context, std::move(report), std::move(callback));
    reporter->m_crashes = context.crashRegistry.record(reporter->m_report, monotonicNow());
    reporter->chooseCandidates();
    for (std::size_t i = 0; i < s_counters; ++i)
        reporter->tellNext();
    reporter->finishIfDone();
    return reporter;
}

CrashReporter::CrashReporter(EntryContext& context, CrashReport report, Callback callback)
    : m_context(context)
    , m_report(std::move(report))
    , m_callback(std::move(callback))
{
}

auto CrashReporter::chooseCandidates() -> void
{
    std::vector<std::pair<std::uint64_t, std::string>> weightedHosts;
    for (const auto& [region, hosts] : m_context.directory.rateLimitHosts()) {
        for (const auto& host : hosts)
            weightedHosts.emplace_back(hashOf(host.host, m_report.fingerprint), host.host);
    }
    const auto count = std::min(s_candidates, weightedHosts.size());
    std::partial_sort(weightedHosts.begin(), weightedHosts.begin() + static_cast<std::ptrdiff_t>(count),
        weightedHosts.end(), std::greater<> {});
    for (std::size_t i = count; i > 0; --i)
        m_candidates.push_back(weightedHosts[i - 1].second);
}

auto CrashReporter::tellNext() -> void
{
    while (!m_candidates.empty()) {
        const auto host = std::move(m_candidates.back());
        m_candidates.pop_back();
        if (host == m_context.hostKey) {
            ++m_told;
            m_crashes = std::max(m_crashes, m_context.crashRegistry.recordAndMark(m_report, monotonicNow()));
            return;
        }
        // The host may have left the directory while an earlier one did not respond.
        if (const auto* record = m_context.directory.find(host)) {
            tell(record->peerAddress);
            return;
        }
    }
}

auto CrashReporter::tell(const std::string& address) -> void
{
    ++m_pending;
    m_context.peerClient.send(address, encodeCrashReport(m_report), { .timeout = m_context.options.crashReportTimeout },
        [self = shared_from_this()](const net::HttpClient::Result& result) { self->onResponse(result); });
}

auto CrashReporter::onResponse(const net::HttpClient::Result& result) -> void
{
    --m_pending;
    const auto* response = std::get_if<http::Answer>(&result);
    const auto crashes = response && response->status == http::statusOk ? decodeCrashes(response->body) : std::nullopt;
    if (crashes) {
        ++m_told;
        m_crashes = std::max(m_crashes, *crashes);
    } else {
        tellNext();
    }
    finishIfDone();
}

auto CrashReporter::finishIfDone() -> void
{
    if (m_pending > 0)
        return;
    if (const auto callback = std::exchange(m_callback, nullptr))
        callback(m_told > 0 ? std::optional(m_crashes) : std::nullopt);
}

} // namespace coriandergate::relay
