#include "soak/Checker.h"

#include "http/Status.h"

#include <algorithm>
#include <csignal>
#include <iterator>

namespace coriandergate::soak {

namespace {

    constexpr int signalExitBase = 128; // of testing::ProcessUnderTest

    auto promisesNotRun(int status) -> bool
    {
        return status == http::statusRequestTimeout || status == http::statusMisdirected
            || status == http::statusTooManyRequests || status == http::statusUnavailable;
    }

} // namespace

auto Checker::violateLocked(const std::string& promise, const std::string& what) -> void
{
    m_violations.push_back(promise + ": " + what);
}

auto Checker::sent(const Sent& request, MonotonicTime now) -> void
{
    const MutexLock lock(m_mutex);
    m_requests[request.id] = { request, now };
    ++m_counts.sent;
}

auto Checker::ran(const std::string& instance, const Run& run, MonotonicTime now) -> void
{
    const MutexLock lock(m_mutex);
    ++m_counts.runs;
    const auto found = m_requests.find(run.id);
    if (found == m_requests.end()) {
        violateLocked("unasked", instance + " ran " + run.id + ", which no caller sent");
        return;
    }
    auto& request = found->second;
    if (++request.runs > 1)
        m_repeats.push_back(now);
    checkRunLocked(instance, request, run, now);
    if (!m_options.limitedAccount.empty() && run.account == m_options.limitedAccount) {
        m_limitedRuns.emplace_back(now, request.sentAt);
        checkRateLocked(now);
    }
}

auto Checker::checkRunLocked(const std::string& instance, const Request& request, const Run& run, MonotonicTime now)
    -> void
{
    const auto& sent = request.sent;
    if (run.method != sent.method || run.path != sent.path || run.body != sent.body)
        violateLocked("unasked", instance + " ran " + run.id + " changed on its way");
    if (run.account != sent.account)
        violateLocked("account", instance + " was told '" + run.account + "' of " + run.id);
    if (run.hasKey)
        violateLocked("account", instance + " saw the key of " + run.id);
    if (!sent.isRepeatable && request.runs > 1)
        violateLocked("twice", run.id + " ran again at " + instance);
    if (request.isAnswered && !sent.isRepeatable && promisesNotRun(request.status))
        violateLocked("refused", run.id + " ran at " + instance + " after it was refused as not run");
    if (request.wasNotRead && !sent.isRepeatable)
        violateLocked("unread", run.id + " ran at " + instance + " after its connection showed that it wasn't read");
    const auto leaving = m_leaving.find(instance);
    if (leaving != m_leaving.end() && now > leaving->second + m_options.drain)
        violateLocked("drain", run.id + " ran at " + instance + " long after it had left");
    const auto withdrawn = m_withdrawn.find(sent.key);
    if (withdrawn != m_withdrawn.end() && request.sentAt > withdrawn->second + m_options.revocation)
        violateLocked("revoked", run.id + " ran with the withdrawn key " + sent.key);
    const auto served = m_served.find(sent.host);
    if (sent.generation > 0 && served != m_served.end() && sent.generation < served->second.generation
        && request.sentAt > served->second.at + m_options.regressSlack)
        violateLocked("regress",
            run.id + " ran on a route of configuration " + std::to_string(sent.generation) + " after "
                + std::to_string(served->second.generation) + " was seen at the same daemon");
    if (sent.generation > 0 && sent.generation < m_confirmed.generation && isConfigurationDueLocked(request, now))
        violateLocked("configuration",
            run.id + " ran on a route of configuration " + std::to_string(sent.generation) + " long after "
                + std::to_string(m_confirmed.generation) + " was confirmed");
}

auto Checker::isDisturbedLocked(const Request& request, MonotonicTime now) const -> bool
{
    const auto from = request.sentAt - m_options.calm;
    return std::any_of(m_disturbances.begin(), m_disturbances.end(),
        [from, now](const auto& one) { return one.first <= now && one.second >= from; });
}

auto Checker::isCalmLocked(const Request& request, MonotonicTime now) const -> bool
{
    const auto host = request.sent.host;
    const auto life = m_lives.find(host);
    const bool isNew = life != m_lives.end() && life->second.startedAt > request.sentAt - m_options.calm;
    return !isNew && !m_stopping.contains(host) && !isDisturbedLocked(request, now);
}

auto Checker::isConfigurationDueLocked(const Request& request, MonotonicTime now) const -> bool
{
    return request.sentAt > m_confirmed.at + m_options.configuration && isCalmLocked(request, now);
}

auto Checker::checkRateLocked(MonotonicTime now) -> void
{
    const auto from = now - m_options.rateWindow;
    while (!m_limitedRuns.empty() && m_limitedRuns.front().first < from)
        m_limitedRuns.pop_front();
    // What was sent before the window may have been held up on its way.
    const auto inWindow = std::count_if(
        m_limitedRuns.begin(), m_limitedRuns.end(), [from](const auto& run) { return run.second >= from; });
    if (m_options.rateLimit > 0 && static_cast<double>(inWindow) > m_options.rateLimit)
        violateLocked("rate", std::to_string(inWindow) + " runs of the limited account in a window");
}

auto Checker::checkRepeatsLocked() -> void
{
    std::vector<MonotonicTime> sentAt;
    std::transform(m_requests.begin(), m_requests.end(), std::back_inserter(sentAt),
        [](const auto& entry) { return entry.second.sentAt; });
    std::sort(sentAt.begin(), sentAt.end());
    std::sort(m_repeats.begin(), m_repeats.end());
    const auto excess = testing::worstExcess(sentAt, m_repeats, m_options.repeats);
    if (excess > 0)
        violateLocked("repeats",
            std::to_string(excess) + " runs beyond the first of a request too many in a window of "
                + std::to_string(m_options.repeats.window.count()) + " ms");
}

auto Checker::answered(const std::string& id, int status, const std::string& body, bool isSigned, MonotonicTime now)
    -> void
{
    const MutexLock lock(m_mutex);
    auto& request = m_requests[id];
    request.status = status;
    request.isAnswered = true;
    if (status == http::statusNotFound && request.sent.generation == m_confirmed.generation
        && m_confirmed.generation > 0 && isConfigurationDueLocked(request, now))
        violateLocked("configuration",
            id + " found no route of configuration " + std::to_string(m_confirmed.generation)
                + " long after it was confirmed");
    if (promisesNotRun(status)) {
        ++m_counts.refused;
        return;
    }
    if (status != http::statusOk) {
        ++m_counts.failed;
        return;
    }
    ++m_counts.served;
    if (!isSigned || body != "ran " + request.sent.path)
        violateLocked("mixed", id + " got a success that isn't its instance's answer");
    auto& served = m_served[request.sent.host];
    if (request.sent.generation > served.generation)
        served = { request.sent.generation, now };
}

auto Checker::cut(const std::string& id, MonotonicTime now) -> void
{
    const MutexLock lock(m_mutex);
    ++m_counts.cut;
    const auto& request = m_requests[id];
    const auto stopping = m_stopping.find(request.sent.host);
    if (request.runs > 0 && stopping != m_stopping.end() && !isDisturbedLocked(request, now))
        violateLocked("lost", id + " ran and was cut off around a planned stop");
}

auto Checker::notRead(const std::string& id) -> void
{
    const MutexLock lock(m_mutex);
    ++m_counts.notRead;
    auto& request = m_requests[id];
    request.wasNotRead = true;
    if (request.runs > 0 && !request.sent.isRepeatable)
        violateLocked("unread", id + " had run, and its connection showed that it wasn't read");
}

auto Checker::unasked(const std::string& name, const std::string& bytes) -> void
{
    constexpr std::size_t longestQuote = 60;
    const MutexLock lock(m_mutex);
    violateLocked("mixed", name + " got bytes that are no answer: " + bytes.substr(0, longestQuote));
}

auto Checker::leaveConfirmed(const std::string& instance, MonotonicTime now) -> void
{
    const MutexLock lock(m_mutex);
    m_leaving.emplace(instance, now);
}

auto Checker::keyWithdrawn(const std::string& key, MonotonicTime now) -> void
{
    const MutexLock lock(m_mutex);
    m_withdrawn.emplace(key, now);
}

auto Checker::configurationConfirmed(std::uint64_t generation, MonotonicTime now) -> void
{
    const MutexLock lock(m_mutex);
    m_confirmed = { generation, now };
}

auto Checker::daemonStarted(std::size_t host, MonotonicTime now) -> void
{
    const MutexLock lock(m_mutex);
    m_served.erase(host);
    m_lives[host] = { .startedAt = now };
}

auto Checker::endCaused(std::size_t host, EndSignal signal) -> void
{
    const MutexLock lock(m_mutex);
    m_lives[host].signals.insert(signal);
}

auto Checker::daemonEnded(std::size_t host, int code) -> bool
{
    const MutexLock lock(m_mutex);
    auto& life = m_lives[host];
    if (life.hasEnded)
        return true;
    life.hasEnded = true;
    const bool isStopped
        = (code == 0 || code == signalExitBase + SIGTERM) && life.signals.contains(EndSignal::Terminate);
    const bool isKilled = code == signalExitBase + SIGKILL && life.signals.contains(EndSignal::Kill);
    if (isStopped || isKilled)
        return true;
    violateLocked(
        "end", "the daemon of host " + std::to_string(host) + " ended by itself with " + std::to_string(code));
    return false;
}

auto Checker::stopBegan(std::size_t host, MonotonicTime now) -> void
{
    const MutexLock lock(m_mutex);
    m_stopping[host] = now;
}

auto Checker::stopEnded(std::size_t host) -> void
{
    const MutexLock lock(m_mutex);
    m_stopping.erase(host);
}

auto Checker::disturbed(MonotonicTime from, MonotonicTime to) -> void
{
    const MutexLock lock(m_mutex);
    m_disturbances.emplace_back(from, to);
}

auto Checker::finish() -> std::vector<std::string>
{
    const MutexLock lock(m_mutex);
    for (const auto& [id, request] : m_requests) {
        if (request.isAnswered && !request.sent.isRepeatable && promisesNotRun(request.status) && request.runs > 0)
            violateLocked("refused", id + " was refused as not run and had run");
    }
    checkRepeatsLocked();
    return m_violations;
}

auto Checker::counts() const -> Counts
{
    const MutexLock lock(m_mutex);
    return m_counts;
}

} // namespace coriandergate::soak
