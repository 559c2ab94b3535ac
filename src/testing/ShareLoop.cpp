#include "testing/ShareLoop.h"

#include "seat/SeatDirectory.h"
#include "seat/SeatLeaseClient.h"
#include "seat/SeatLeaseGrantor.h"
#include "seat/SeatPlanner.h"
#include "share/PeerClock.h"
#include "share/StaticSplit.h"
#include "share/TokenClient.h"
#include "share/TokenMessageCodec.h"
#include "share/TokenServer.h"

#include <algorithm>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <unordered_map>

namespace coriandergate::testing {

using namespace std::chrono_literals;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;

namespace {

    constexpr auto tickInterval = 5ms;
    constexpr auto seatTickTicks = 10;
    constexpr auto loopOrigin = 1h; // so that clocks that are behind stay positive

    struct Event {
        nanoseconds time;
        std::uint64_t number;
        std::function<void()> action;
        auto operator<(const Event& other) const -> bool
        {
            return std::tie(time, number) > std::tie(other.time, other.number);
        }
    };

    struct Daemon {
        Daemon(DaemonIdentity identity, share::BucketLimitsLookup limits, const share::RateLimitOptions& options,
            std::size_t daemons)
            : self(std::move(identity))
            , ledger(self, {})
            , authority(self, ledger, {})
            , home(self, authority, std::move(limits), options)
            , holder(self, directory, options)
            , part(daemons)
        {
        }

        DaemonIdentity self;
        seat::SeatLeaseGrantor ledger;
        seat::SeatLeaseClient authority;
        seat::SeatDirectory directory;
        share::TokenServer home;
        share::TokenClient holder;
        share::StaticSplit part;
        std::map<std::string, share::TokenBucket> central; // the naive home
        std::unordered_map<std::uint64_t, std::size_t> waiting; // ticket to request
        std::map<std::size_t, share::PeerClock> clocks;
        bool isAlive = true;
        bool hasLeft = false; // known to be dead
        nanoseconds pausedUntil { 0 };
        std::uint64_t ticks = 0;
    };

    struct Request {
        std::size_t account;
        nanoseconds arrived;
        bool isWithin; // by one bucket for all hosts
        bool isServed = false;
    };

} // namespace

struct ShareLoop::State {
    explicit State(ShareLoopOptions given)
        : options(std::move(given))
        , random(options.seed)
    {
        for (std::size_t i = 0; i < options.daemons; ++i) {
            offsets.push_back(milliseconds { uniform(0, 600000) });
            drifts.push_back(1 + (uniform(0, 200) - 100) * 1e-6);
            daemons.push_back(makeDaemon(i));
        }
        for (const auto& account : options.accounts) {
            limits.emplace(account.name, share::bucketLimitsFor(account.ratePerSecond, account.burst, options.share));
            reached.emplace_back();
        }
    }

    auto uniform(double low, double high) -> std::int64_t
    {
        return static_cast<std::int64_t>(std::uniform_real_distribution<double>(low, high)(random));
    }

    auto chance(double probability) -> bool
    {
        return std::uniform_real_distribution<double>(0, 1)(random) < probability;
    }

    auto makeDaemon(std::size_t i) -> std::unique_ptr<Daemon>
    {
        return std::make_unique<Daemon>(
            DaemonIdentity { std::to_string(i), ++incarnations },
            [this](std::string_view name) -> std::optional<share::BucketLimits> { return limits.find(name)->second; },
            options.share, options.daemons);
    }

    auto later(nanoseconds delay, std::function<void()> action) -> void
    {
        events.push({ now + delay, ++eventNumber, std::move(action) });
    }

    // The clock of daemon `i`: with an offset of its own and up to 100 parts per million off.
    auto clock(std::size_t i) const -> MonotonicTime
    {
        const auto shown = static_cast<std::int64_t>(static_cast<double>(now.count()) * drifts[i]);
        return MonotonicTime { loopOrigin + offsets[i] + nanoseconds { shown } };
    }

    // Four data centres in two regions, with 0.5 ms between data centres and 20 ms between regions, there and back.
    auto locality(std::size_t i) const -> Locality
    {
        return { "region-" + std::to_string(i % 2), "centre-" + std::to_string(i % 4) };
    }

    auto delayBetween(std::size_t from, std::size_t to) -> nanoseconds
    {
        auto delay = 100us + std::chrono::microseconds { uniform(0, 100) };
        if (from % 4 != to % 4)
            delay += 250us;
        if (from % 2 != to % 2)
            delay += 10ms;
        if (chance(options.slowChance))
            delay += milliseconds { uniform(0, 400) };
        return delay;
    }

    // Runs `action` at daemon `i` when it is not paused, if it is still the same run.
    auto runAt(std::size_t i, std::uint64_t incarnation, const std::function<void()>& action) -> void
    {
        auto& daemon = *daemons[i];
        if (!daemon.isAlive || daemon.self.incarnation != incarnation)
            return;
        if (now < daemon.pausedUntil)
            later(daemon.pausedUntil - now, [this, i, incarnation, action] { runAt(i, incarnation, action); });
        else
            action();
    }

    auto send(std::size_t from, const DaemonIdentity& to, const std::function<void()>& deliver, bool mayRepeat = true)
        -> void
    {
        const std::size_t target = std::stoul(to.address);
        const auto copies = mayRepeat && chance(options.repeatChance) ? 2 : 1;
        for (auto copy = 0; copy < copies; ++copy) {
            if (from != target && (blocked.contains({ from, target }) || chance(options.lossChance)))
                continue;
            const auto delay = from == target ? 1us : delayBetween(from, target);
            later(delay, [this, target, run = to.incarnation, deliver] { runAt(target, run, deliver); });
        }
    }

    auto sendSeat(std::size_t from, const seat::SeatMessage& message) -> void
    {
        const auto& to = seat::recipientOf(message);
        if (std::to_string(from) != to.address) {
            ++result.controlMessages;
            result.controlBytes += seat::encodeSeatMessage(message).size();
        }
        send(from, to, [this, i = std::stoul(to.address), message] { receiveSeat(i, message); });
    }

    auto receiveSeat(std::size_t i, const seat::SeatMessage& message) -> void
    {
        auto& daemon = *daemons[i];
        if (const auto* renewalAsk = std::get_if<seat::LeaseRequest>(&message))
            sendSeat(i, daemon.ledger.handle(*renewalAsk, clock(i)));
        else if (const auto* promiseAsk = std::get_if<seat::PrepareRequest>(&message))
            sendSeat(i, daemon.ledger.handle(*promiseAsk, clock(i)));
        else if (const auto* renewal = std::get_if<seat::LeaseResponse>(&message))
            daemon.authority.handle(*renewal, clock(i));
        else if (const auto* promise = std::get_if<seat::PrepareResponse>(&message))
            daemon.authority.handle(*promise, clock(i));
        else
            daemon.ledger.release(std::get<seat::LeaseRelease>(message), clock(i));
    }

    auto flushAsks(std::size_t i) -> void
    {
        for (const auto& ask : daemons[i]->holder.takeTokenRequests(clock(i))) {
            countShare(i, ask.to, share::encodeTokenRequest(ask).size());
            send(i, ask.to, [this, i, ask] {
                const auto home = std::stoul(ask.to.address);
                const auto grant = daemons[home]->home.handleRequest(ask, clock(home));
                countShare(home, grant.to, share::encodeTokenResponse(grant).size());
                send(home, grant.to,
                    [this, i, grant] { settle(i, daemons[i]->holder.handleResponse(grant, clock(i))); });
            });
        }
    }

    auto countShare(std::size_t from, const DaemonIdentity& to, std::size_t bytes) -> void
    {
        if (std::to_string(from) == to.address)
            return;
        ++result.messages;
        result.bytes += bytes;
    }

    auto settle(std::size_t i, const std::vector<share::DeferredDecision>& settled) -> void
    {
        for (const auto& settlement : settled) {
            const auto found = daemons[i]->waiting.find(settlement.ticket);
            if (found == daemons[i]->waiting.end())
                continue;
            if (const auto* granted = std::get_if<share::TokenGranted>(&settlement.decision))
                forward(i, found->second, granted->expiresAt);
            daemons[i]->waiting.erase(found);
        }
    }

    // To a daemon beside the target, which checks the token's use-by time on its own clock just before the target.
    auto forward(std::size_t i, std::size_t request, MonotonicTime useBy) -> void
    {
        requests[request].isServed = true;
        const auto arrived = requests[request].arrived;
        if (arrived >= options.measureFrom && arrived < options.measureUntil)
            result.waits.push_back(std::chrono::duration_cast<std::chrono::microseconds>(now - arrived));
        const auto owner = static_cast<std::size_t>(uniform(0, static_cast<double>(options.daemons)));
        auto& peer = daemons[i]->clocks.try_emplace(owner, 200).first->second;
        peer.addSample(clock(owner).time_since_epoch() - delayBetween(owner, i), clock(i));
        const auto deadline = *peer.toPeerTime(useBy);
        const auto check = [this, owner, request, deadline] {
            if (clock(owner).time_since_epoch() < deadline)
                reached[requests[request].account].push_back(now);
            else
                ++result.late;
        };
        send(i, daemons[owner]->self, check, /*mayRepeat*/ false); // a request is forwarded once
    }

    auto arrive(std::size_t i, std::size_t account) -> void
    {
        auto& daemon = *daemons[i];
        const auto& declared = options.accounts[account];
        const auto request = requests.size() - 1;
        if (options.scheme == ShareScheme::StaticSplit) {
            if (daemon.part.acquire(declared.name, declared.ratePerSecond, declared.burst, clock(i)))
                forward(i, request, clock(i) + 1h);
            return;
        }
        if (options.scheme == ShareScheme::CentralBucket) {
            askCentral(i, account, request);
            return;
        }
        const auto decision = daemon.holder.acquire(declared.name, limits.at(declared.name), clock(i));
        if (const auto* granted = std::get_if<share::TokenGranted>(&decision))
            forward(i, request, granted->expiresAt);
        else if (const auto* waits = std::get_if<share::TokenPending>(&decision))
            daemon.waiting.emplace(waits->ticket, request);
        flushAsks(i);
    }

    // The naive home: the first daemon after the account's place that is not known to be dead; its bucket is full.
    auto askCentral(std::size_t i, std::size_t account, std::size_t request) -> void
    {
        auto home = account % options.daemons;
        while (daemons[home]->hasLeft)
            home = (home + 1) % options.daemons;
        result.messages += 2;
        result.bytes += 2 * options.accounts[account].name.size() + 40;
        send(i, daemons[home]->self, [this, i, home, account, request] {
            const auto& declared = options.accounts[account];
            auto& bucket = daemons[home]->central.try_emplace(declared.name, clock(home)).first->second;
            const std::chrono::duration<double> interval { 1 / declared.ratePerSecond };
            const share::BucketLimits whole { 1, std::chrono::ceil<nanoseconds>(interval),
                std::chrono::floor<nanoseconds>(interval * (declared.burst - 1)), {} };
            if (bucket.issue(whole, 0ns, clock(home)))
                send(home, daemons[i]->self, [this, i, request] { forward(i, request, clock(i) + 1h); });
        });
    }

    auto nextArrival(std::size_t account) -> void
    {
        const auto& declared = options.accounts[account];
        const std::chrono::duration<double> gap { std::exponential_distribution<double>(declared.offeredPerSecond)(
            random) };
        later(std::chrono::duration_cast<nanoseconds>(gap), [this, account] {
            const auto any = static_cast<std::size_t>(uniform(0, static_cast<double>(options.daemons)));
            auto i = chance(0.5) ? account * 7 % options.daemons : any; // half of the traffic at one daemon
            while (!daemons[i]->isAlive)
                i = (i + 1) % options.daemons;
            const auto& arriving = options.accounts[account];
            const std::chrono::duration<double> interval { 1 / arriving.ratePerSecond };
            const share::BucketLimits whole { 1, std::chrono::ceil<nanoseconds>(interval),
                std::chrono::floor<nanoseconds>(interval * (arriving.burst - 1)), {} };
            auto& ideal = ideals.try_emplace(account, MonotonicTime { now }).first->second;
            requests.push_back({ account, now, ideal.issue(whole, 0ns, MonotonicTime { now }).has_value() });
            if (now >= daemons[i]->pausedUntil)
                arrive(i, account);
            nextArrival(account);
        });
    }

    auto tick(std::size_t i, std::uint64_t incarnation) -> void
    {
        runAt(i, incarnation, [this, i, incarnation] {
            auto& daemon = *daemons[i];
            if (daemon.ticks++ % seatTickTicks == 0) {
                for (const auto& message : daemon.authority.tick(clock(i)))
                    sendSeat(i, message);
            }
            settle(i, daemon.holder.processTimers(clock(i)));
            flushAsks(i);
            later(tickInterval, [this, i, incarnation] { tick(i, incarnation); });
        });
    }

    auto plan() -> void
    {
        if (isStoreAway)
            return;
        seat::SeatPlannerInput input { map, {}, {}, {} };
        for (std::size_t i = 0; i < daemons.size(); ++i) {
            if (daemons[i]->hasLeft)
                continue;
            input.liveDaemons.push_back({ daemons[i]->self, locality(i), false });
            if (daemons[i]->isAlive)
                input.leasedEpochs.merge(daemons[i]->authority.leasedEpochs(clock(i)));
        }
        if (const auto next = seat::planSeatMap(input, { options.seats, 3 })) {
            map = *next;
            for (std::size_t i = 0; i < daemons.size(); ++i)
                adoptLater(i, milliseconds { uniform(0, static_cast<double>(options.mapSpread.count())) });
        }
    }

    auto adoptLater(std::size_t i, milliseconds delay) -> void
    {
        later(delay, [this, i, run = daemons[i]->self.incarnation, newMap = map] {
            runAt(i, run, [this, i, newMap] {
                auto& daemon = *daemons[i];
                daemon.ledger.adopt(newMap, clock(i));
                daemon.directory.adopt(newMap);
                for (const auto& message : daemon.authority.adopt(newMap, clock(i)))
                    sendSeat(i, message);
            });
        });
    }

    // What a plain observer of all daemons sees: who holds each seat.
    auto observe() -> void
    {
        std::map<std::uint32_t, int> holders;
        for (std::size_t i = 0; i < daemons.size(); ++i) {
            if (!daemons[i]->isAlive || now < daemons[i]->pausedUntil)
                continue;
            for (const auto number : daemons[i]->authority.heldSeats(clock(i)))
                ++holders[number];
        }
        for (std::uint32_t number = 0; number < map.seats.size(); ++number) {
            const auto held = holders[number];
            result.doubleHolds += held > 1 ? 1 : 0;
            auto& last = lastHeld.try_emplace(number, now).first->second;
            if (held > 0)
                last = now;
            if (now >= options.measureFrom)
                result.longestGap = std::max(result.longestGap, std::chrono::duration_cast<milliseconds>(now - last));
        }
        later(20ms, [this] { observe(); });
    }

    auto finish() -> void
    {
        std::map<std::size_t, std::pair<std::uint64_t, std::uint64_t>> counts; // requests and wrongful refusals
        std::map<std::size_t, std::uint64_t> served;
        result.allRequests = requests.size();
        for (const auto& request : requests) {
            if (request.arrived < options.measureFrom || request.arrived >= options.measureUntil)
                continue;
            served[request.account] += request.isServed ? 1 : 0;
            auto& [asked, wrongful] = counts[request.account];
            ++asked;
            wrongful += request.isWithin && !request.isServed ? 1 : 0;
        }
        const auto seconds = std::chrono::duration<double>(options.measureUntil - options.measureFrom).count();
        for (const auto& [account, count] : counts) {
            const auto& declared = options.accounts[account];
            if (declared.offeredPerSecond > declared.ratePerSecond) {
                const auto got = static_cast<double>(served[account]) / (declared.ratePerSecond * seconds);
                result.overloadedShare = std::min(result.overloadedShare, got);
                continue;
            }
            result.requests += count.first;
            result.wrongful += count.second;
            const auto share = static_cast<double>(count.second) / static_cast<double>(count.first);
            if (count.first >= 50)
                result.worstAccount = std::max(result.worstAccount, share);
        }
        for (std::size_t account = 0; account < reached.size(); ++account)
            countAboveLimit(options.accounts[account], reached[account]);
        std::sort(result.waits.begin(), result.waits.end());
    }

    // For every window that starts and ends with a request: its requests, against burst + rate * length.
    auto countAboveLimit(const ShareLoopAccount& account, const std::vector<nanoseconds>& times) -> void
    {
        for (std::size_t last = 0; last < times.size(); ++last) {
            for (std::size_t first = 0; first <= last; ++first) {
                const std::chrono::duration<double> length = times[last] - times[first];
                const auto allowed = account.burst + account.ratePerSecond * length.count() + 1e-6;
                if (static_cast<double>(last - first + 1) > allowed) {
                    ++result.aboveLimit;
                    break;
                }
            }
        }
    }

    ShareLoopOptions options;
    std::mt19937_64 random;
    nanoseconds now { 0 };
    std::uint64_t eventNumber = 0;
    std::uint64_t incarnations = 0;
    std::priority_queue<Event> events;
    std::vector<nanoseconds> offsets;
    std::vector<double> drifts;
    std::vector<std::unique_ptr<Daemon>> daemons;
    std::map<std::string, share::BucketLimits, std::less<>> limits;
    std::set<std::pair<std::size_t, std::size_t>> blocked;
    bool isStoreAway = false;
    seat::SeatMap map;
    std::vector<Request> requests;
    std::map<std::size_t, share::TokenBucket> ideals;
    std::vector<std::vector<nanoseconds>> reached; // by account, in order of time
    std::map<std::uint32_t, nanoseconds> lastHeld;
    ShareLoopResult result;
};

ShareLoop::ShareLoop(ShareLoopOptions options)
    : m_state(std::make_unique<State>(std::move(options)))
{
}

ShareLoop::~ShareLoop() = default;

auto ShareLoop::at(milliseconds time, std::function<void()> action) -> void { m_state->later(time, std::move(action)); }

auto ShareLoop::kill(std::size_t daemon) -> void
{
    m_state->daemons[daemon]->isAlive = false;
    m_state->later(m_state->options.detectionTime, [this, daemon, run = m_state->daemons[daemon]->self.incarnation] {
        if (m_state->daemons[daemon]->self.incarnation == run)
            m_state->daemons[daemon]->hasLeft = true;
        m_state->plan();
    });
}

auto ShareLoop::restart(std::size_t daemon) -> void
{
    m_state->daemons[daemon] = m_state->makeDaemon(daemon);
    m_state->adoptLater(daemon, 50ms);
    m_state->tick(daemon, m_state->daemons[daemon]->self.incarnation);
    m_state->later(m_state->options.detectionTime, [this] { m_state->plan(); });
}

auto ShareLoop::pause(std::size_t daemon, milliseconds time) -> void
{
    m_state->daemons[daemon]->pausedUntil = m_state->now + time;
}

auto ShareLoop::block(std::size_t from, std::size_t to) -> void { m_state->blocked.emplace(from, to); }

auto ShareLoop::unblock() -> void { m_state->blocked.clear(); }

auto ShareLoop::setStoreAway(bool isAway) -> void
{
    m_state->isStoreAway = isAway;
    m_state->plan();
}

auto ShareLoop::holderOf(const std::string& account, std::uint32_t split) const -> std::size_t
{
    return std::stoul(m_state->map.seats[m_state->map.seatOf(account, split)].holder.address);
}

auto ShareLoop::run() -> ShareLoopResult
{
    auto& state = *m_state;
    state.plan();
    for (std::size_t i = 0; i < state.daemons.size(); ++i)
        state.tick(i, state.daemons[i]->self.incarnation);
    for (std::size_t account = 0; account < state.options.accounts.size(); ++account)
        state.nextArrival(account);
    state.observe();
    while (!state.events.empty() && state.events.top().time < state.options.duration) {
        const auto event = state.events.top();
        state.events.pop();
        state.now = event.time;
        event.action();
    }
    state.finish();
    return std::move(state.result);
}

} // namespace coriandergate::testing
