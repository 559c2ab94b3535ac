#include "daemon/JudgePoisonGate.h"

#include "http/Status.h"
#include "http/WorkerPool.h"
#include "log/Event.h"
#include "proxy/RequestContext.h"

#include <utility>

namespace coriandergate::daemon {

using poison::PoisonDetector;
using poison::PoisonStatus;

namespace {

    constexpr auto askAgain = std::chrono::milliseconds(50);
    constexpr auto step = "check for poison";

    const log::Event suspected { 1811, log::Severity::Warning, "request suspected",
        "its target crashed while it ran; it runs alone from now on" };
    const log::Event poisoned { 1812, log::Severity::Error, "request poisonous",
        "a second target crashed under it; it is refused for ten minutes: mend the target, which should not crash" };

} // namespace

// A suspect request that waits for its permit.
struct JudgePoisonGate::Waiting {
    proxy::RequestContext request;
    std::function<void(std::optional<proxy::Refusal>)> decided;
};

JudgePoisonGate::JudgePoisonGate(std::shared_ptr<http::WorkerPool> workers, const PoisonDetector::Options& options)
    : m_workers(std::move(workers))
    , m_options(options)
{
}

auto JudgePoisonGate::begin(const proxy::RequestContext& context, MonotonicTime now,
    std::function<void(std::optional<proxy::Refusal>)> decided) -> void
{
    const auto standing = m_table.statusOf(context.fingerprint, now);
    if (standing == PoisonStatus::Clear)
        decided(std::nullopt);
    else if (standing == PoisonStatus::Poison)
        decided(refusePoison(context.route.service));
    else
        ask(std::make_shared<Waiting>(Waiting { context, std::move(decided) }), now);
}

// A suspect waits its turn; it is likely to be an innocent one that ran beside the culprit.
auto JudgePoisonGate::ask(const std::shared_ptr<Waiting>& waiting, MonotonicTime now) -> void
{
    const auto& request = waiting->request;
    const auto permission = judgeOf(request.route.service).requestPermit(request.fingerprint, now);
    if (permission == PoisonDetector::PermitDecision::Grant) {
        grant(*waiting);
        return;
    }
    if (permission == PoisonDetector::PermitDecision::Refuse) {
        waiting->decided(refusePoison(request.route.service));
        return;
    }
    if (now + askAgain >= request.deadline) {
        waiting->decided(proxy::Refusal { .status = http::statusUnavailable,
            .outcome = proxy::Outcome::NotRun,
            .error = { step, request.route.service, "another request that may crash its target is running" },
            .retryAfter = std::chrono::milliseconds(1000),
            .mayTryOtherTarget = false });
        return;
    }
    m_workers->postAfter(
        request.worker, askAgain, [self = shared_from_this(), waiting] { self->ask(waiting, monotonicNow()); });
}

auto JudgePoisonGate::grant(const Waiting& waiting) -> void
{
    {
        const MutexLock lock(m_mutex);
        m_permits.insert(waiting.request.id);
        m_permitCount = m_permits.size();
    }
    waiting.decided(std::nullopt);
}

auto JudgePoisonGate::crashed(const proxy::RequestContext& context, const std::string& target, MonotonicTime now,
    std::function<void()> known) -> void
{
    const auto notice = judgeOf(context.route.service).recordCrash(context.fingerprint, target, now);
    m_table.apply(notice, now);
    const auto isPoison = notice.status == PoisonStatus::Poison;
    ++(isPoison ? m_counts.poisoned : m_counts.suspected);
    log::logEvent(isPoison ? poisoned : suspected,
        { { "id", context.id }, { "account", context.clientAccount }, { "route", context.route.name },
            { "target", target } });
    known();
}

auto JudgePoisonGate::finished(const proxy::RequestContext& context, proxy::Outcome outcome, MonotonicTime now) -> void
{
    if (m_permitCount == 0)
        return;
    {
        const MutexLock lock(m_mutex);
        if (m_permits.erase(context.id) == 0)
            return;
        m_permitCount = m_permits.size();
    }
    const auto isClean = outcome == proxy::Outcome::Ran;
    m_table.apply(judgeOf(context.route.service).recordCompletion(context.fingerprint, isClean, now), now);
}

auto JudgePoisonGate::judgeOf(const std::string& service) -> PoisonDetector&
{
    const MutexLock lock(m_mutex);
    auto& judge = m_judges[service];
    if (!judge)
        judge = std::make_unique<PoisonDetector>(service, m_options, MonotonicTime() - m_options.permitTtl);
    return *judge;
}

auto JudgePoisonGate::refusePoison(const std::string& service) -> proxy::Refusal
{
    ++m_counts.refused;
    return { .status = http::statusUnprocessable,
        .outcome = proxy::Outcome::NotRun,
        .error = { step, service, "targets crashed when they ran this request; it is refused for a time" },
        .retryAfter = std::nullopt,
        .mayTryOtherTarget = false };
}

} // namespace coriandergate::daemon
