#include "testing/RetryHistory.h"

#include "testing/RepeatBound.h"

#include <algorithm>
#include <utility>

namespace coriandergate::testing {

using namespace std::chrono_literals;

using dispatch::RetryBudget;
using std::chrono::milliseconds;

namespace {

    constexpr double callProbability = 0.7; // that a run of "orders" makes its two calls
    constexpr int callsPerRun = 2;
    constexpr milliseconds runTime { 400 }; // of a run that succeeds
    constexpr int maximumAttempts = 3;
    constexpr std::size_t maximumLenders = 2;

} // namespace

RetryHistory::RetryHistory(const Options& options)
    : m_options(options)
    , m_random(options.seed)
    , m_now(1h)
{
    for (std::size_t host = 0; host < options.hosts; ++host)
        m_hosts.push_back({ .budget = RetryBudget(options.budget) });
    for (const auto* service : { "orders", "stock" })
        m_failureRate[service] = 0.01;
}

auto RetryHistory::schedule(milliseconds delay, std::function<void()> action) -> void
{
    m_events.push({ m_now + delay, m_order++, std::move(action) });
}

auto RetryHistory::chance(double probability) -> bool { return std::bernoulli_distribution(probability)(m_random); }

auto RetryHistory::drawTime(milliseconds shortest, milliseconds longest) -> milliseconds
{
    return milliseconds(std::uniform_int_distribution<milliseconds::rep>(shortest.count(), longest.count())(m_random));
}

auto RetryHistory::upHosts() const -> std::size_t
{
    return static_cast<std::size_t>(
        std::count_if(m_hosts.begin(), m_hosts.end(), [](const Host& host) { return host.isUp; }));
}

// A running host, in proportion to its load.
auto RetryHistory::drawHost() -> std::size_t
{
    std::vector<double> weights;
    std::transform(m_hosts.begin(), m_hosts.end(), std::back_inserter(weights),
        [](const Host& host) { return host.isUp ? host.load : 0; });
    return std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(m_random);
}

auto RetryHistory::start(std::size_t host) -> void
{
    auto& started = m_hosts[host];
    started.budget = RetryBudget(m_options.budget);
    started.budget.onRestart(m_now);
    started.callRatio = {};
    started.callsPerRequest.clear();
    ++started.process;
    started.isUp = true;
}

auto RetryHistory::play() -> void
{
    planFailures();
    if (m_options.hasRestarts)
        planRestarts();
    if (m_options.hasJoins)
        planJoins();
    if (m_options.hasChangingLoad)
        planLoad();
    generateRequest();
    const auto end = m_now + m_options.length;
    while (!m_events.empty() && m_events.top().at < end) {
        const auto event = m_events.top();
        m_events.pop();
        m_now = event.at;
        event.action();
    }
}

auto RetryHistory::planFailures() -> void
{
    for (const auto* service : { "orders", "stock" }) {
        for (auto at = drawTime(0ms, 8000ms); at < m_options.length; at += drawTime(2000ms, 12000ms)) {
            const double rates[] = { 0.01, 0.1, 0.3, 0.6, 1 };
            schedule(
                at, [this, service, rate = rates[m_random() % std::size(rates)]] { m_failureRate[service] = rate; });
        }
    }
}

auto RetryHistory::planRestarts() -> void
{
    const auto restart = [this](std::size_t host, milliseconds at) {
        schedule(at, [this, host] {
            if (m_hosts[host].isUp)
                start(host);
        });
    };
    const auto gap = drawTime(100ms, 1000ms);
    auto at = drawTime(8000ms, 16000ms);
    const auto rolled = m_random() % m_hosts.size();
    for (std::size_t host = 0; host < rolled; ++host, at += gap)
        restart(host, at);
    for (int i = 0; i < 2; ++i) {
        const auto all = drawTime(5000ms, m_options.length);
        for (std::size_t host = 0; host < m_hosts.size(); ++host)
            restart(host, all);
    }
}

auto RetryHistory::planJoins() -> void
{
    const auto changes = m_hosts.size() / 2;
    for (std::size_t i = 0; i < changes; ++i) {
        const auto host = m_random() % m_hosts.size();
        schedule(drawTime(8000ms, m_options.length), [this, host] {
            if (upHosts() > m_hosts.size() / 2)
                m_hosts[host].isUp = false;
        });
        // Another host takes its place.
        schedule(drawTime(8000ms, m_options.length), [this, host] {
            if (!m_hosts[host].isUp)
                start(host);
        });
    }
}

auto RetryHistory::planLoad() -> void
{
    for (auto at = drawTime(0ms, 6000ms); at < m_options.length; at += drawTime(1000ms, 8000ms)) {
        schedule(at, [this] {
            const double levels[] = { 0.05, 0.5, 1, 1, 2 };
            m_totalLoad = levels[m_random() % std::size(levels)];
            for (auto& host : m_hosts)
                host.load = chance(0.3) ? 0.1 : 1;
        });
    }
}

auto RetryHistory::generateRequest() -> void
{
    const double rate = m_options.requestsPerHost * static_cast<double>(m_options.hosts) * m_totalLoad;
    const std::chrono::duration<double> gap(std::exponential_distribution<double>(rate)(m_random));
    schedule(std::chrono::ceil<milliseconds>(std::min(gap, std::chrono::duration<double>(0.2))), [this] {
        send(chance(0.6) ? "orders" : "stock", drawHost(), false);
        generateRequest();
    });
}

auto RetryHistory::send(const std::string& service, std::size_t entry, bool isOfRepeatedRun) -> void
{
    m_requests[service].push_back(m_now);
    auto& host = m_hosts[entry];
    host.budget.recordRequest(service, upHosts(), m_now);
    const Attempt attempt {
        .service = service, .entry = entry, .process = host.process, .isOfRepeatedRun = isOfRepeatedRun
    };
    schedule(drawTime(1ms, 40ms), [this, attempt, target = drawHost()] { arrive(attempt, target); });
}

auto RetryHistory::arrive(const Attempt& attempt, std::size_t target) -> void
{
    if (attempt.number > 1 || attempt.isOfRepeatedRun) {
        m_repeats[attempt.service].push_back(m_now);
        ++m_repeatCount;
    }
    if (chance(m_failureRate[attempt.service])) {
        schedule(drawTime(1ms, 100ms), [this, attempt] { retry(attempt); });
        return;
    }
    schedule(runTime, [this, target] { m_hosts[target].callRatio.recordRequest(m_now); });
    if (m_options.hasCalls && attempt.service == "orders" && chance(callProbability))
        makeCalls(target, attempt.number > 1);
}

auto RetryHistory::makeCalls(std::size_t target, bool isRepeated) -> void
{
    for (int i = 0; i < callsPerRun; ++i) {
        schedule(drawTime(10ms, runTime), [this, target, isRepeated] {
            if (!m_hosts[target].isUp)
                return;
            m_hosts[target].callRatio.recordKeyless({ .service = "stock", .route = "stock-levels" }, m_now);
            send("stock", target, isRepeated);
        });
    }
}

auto RetryHistory::retry(const Attempt& attempt) -> void
{
    const auto& entry = m_hosts[attempt.entry];
    if (!entry.isUp || entry.process != attempt.process || attempt.number == maximumAttempts)
        return;
    const auto target = drawHost();
    if (const auto calls = m_hosts[target].callRatio.callsPerRequest(m_now))
        m_hosts[attempt.entry].callsPerRequest[attempt.service] = *calls;
    if (!acquire(attempt)) {
        ++m_denied;
        return;
    }
    auto next = attempt;
    ++next.number;
    const bool isSlow = m_options.hasSlowPaths && chance(0.05);
    schedule(isSlow ? drawTime(300ms, 1500ms) : drawTime(1ms, 40ms), [this, next, target] { arrive(next, target); });
}

auto RetryHistory::acquire(const Attempt& attempt) -> bool
{
    auto& entry = m_hosts[attempt.entry];
    const auto& calls = entry.callsPerRequest[attempt.service];
    if (entry.budget.tryAcquire(attempt.service, calls, RetryBudget::RetryClass::HighPriority, upHosts(), m_now))
        return true;
    for (std::size_t i = 0; i < maximumLenders; ++i) {
        auto& lender = m_hosts[m_random() % m_hosts.size()];
        if (lender.isUp && &lender != &entry
            && lender.budget.tryAcquire(attempt.service, calls, RetryBudget::RetryClass::Lent, upHosts(), m_now))
            return true;
    }
    return false;
}

auto RetryHistory::worstExcess() const -> double
{
    const auto& budget = m_options.budget;
    const RepeatBound bound {
        .perRequest = budget.retriesPerRequest, .perWindow = budget.retriesPerWindow, .window = budget.window
    };
    double worst = -bound.perWindow;
    for (const auto& [service, repeats] : m_repeats)
        worst = std::max(worst, testing::worstExcess(m_requests.at(service), repeats, bound));
    return worst;
}

} // namespace coriandergate::testing
