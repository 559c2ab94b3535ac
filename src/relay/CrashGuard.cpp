#include "relay/CrashGuard.h"

#include "base/Clock.h"
#include "base/Hash.h"
#include "dispatch/CrashTracker.h"
#include "http/Exchange.h"
#include "relay/CrashRegistry.h"
#include "relay/CrashReporter.h"
#include "relay/EntryContext.h"

namespace coriandergate::relay {

CrashGuard::CrashGuard(EntryContext& context, std::shared_ptr<const http::Exchange> exchange)
    : m_context(context)
    , m_exchange(std::move(exchange))
{
}

auto CrashGuard::fingerprint() const -> std::uint64_t
{
    const auto& request = m_exchange->request();
    const auto host = request.headers.find("Host").value_or("");
    return hashOf(request.body, hashOf(request.method + ' ' + std::string(host) + request.target));
}

auto CrashGuard::isTooMany(std::optional<std::size_t> crashes) -> bool
{
    return !crashes || *crashes >= dispatch::CrashTracker::s_maximumCrashes;
}

auto CrashGuard::isKnownToCrash() const -> bool
{
    return m_context.crashRegistry.hasMarks() && m_context.crashRegistry.crashesTargets(fingerprint());
}

auto CrashGuard::reportCrash(const std::string& address, Callback callback) -> std::shared_ptr<CrashReporter>
{
    return CrashReporter::start(m_context, { .fingerprint = fingerprint(), .target = address }, std::move(callback));
}

auto CrashGuard::recordSuccess() -> void
{
    auto& registry = m_context.crashRegistry;
    if (!registry.isEmpty() && registry.tryBeginSuccessReport(fingerprint(), monotonicNow()))
        CrashReporter::start(m_context, { .fingerprint = fingerprint(), .target = {}, .hasSucceeded = true }, nullptr);
}

} // namespace coriandergate::relay
