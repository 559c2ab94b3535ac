#include "testing/OnceFleet.h"

#include "once/WitnessSelection.h"

#include <algorithm>
#include <set>

namespace coriandergate::testing {

using namespace once;
using namespace std::chrono_literals;

namespace {

    constexpr unsigned seatCount = 6;
    constexpr auto tenureLength = 3s;
    constexpr auto detectionDelay = 1s;
    constexpr std::uint64_t fingerprint = 7;

} // namespace

struct OnceFleet::Daemon {
    DaemonIdentity identity;
    std::string dataCentre;
    bool isUp = true;
    MonotonicTime pausedUntil {};
    MonotonicTime startedAt {};
    std::uint64_t attempts = 0;
    std::map<unsigned, SeatLease> tenures;
    std::map<AttemptId, std::set<unsigned>> awaited; // 0: the permit; n + 1: the note of daemon n
    std::map<IdempotencyKey, bool> naiveLedger;
    std::unique_ptr<IdempotencyTable> ledger;
    std::unique_ptr<AttemptTable> attemptsAsOwner;
    std::unique_ptr<WitnessTable> witness;
};

struct OnceFleet::Seat {
    unsigned holder = 0;
    DaemonIdentity identity;
    std::uint64_t epoch = 0;
    MonotonicTime heldSince {};
    MonotonicTime validUntil {};
};

struct OnceFleet::Event {
    unsigned daemon;
    std::uint64_t incarnation;
    Step step;
};

OnceFleet::OnceFleet(Options options)
    : m_options(options)
    , m_random(options.seed)
    , m_now(MonotonicTime(24h))
    , m_seats(seatCount)
{
    for (unsigned daemon = 0; daemon < options.daemons; ++daemon) {
        m_daemons.push_back(std::make_unique<Daemon>());
        m_daemons[daemon]->dataCentre = "dc" + std::to_string(daemon % options.dataCentres);
        restart(daemon);
        m_daemons[daemon]->startedAt = m_now - options.retention * 2;
    }
    for (unsigned seat = 0; seat < seatCount; ++seat)
        moveSeat(seat);
}

OnceFleet::~OnceFleet() = default;

auto OnceFleet::run() -> Result
{
    const auto end = m_now + m_options.length;
    for (auto next = m_now; next < end; next += m_options.requestEvery) {
        while (!m_events.empty() && m_events.begin()->first.first <= next) {
            const auto event = m_events.extract(m_events.begin());
            m_now = event.key().first;
            auto& daemon = *m_daemons[event.mapped().daemon];
            if (!daemon.isUp || daemon.identity.incarnation != event.mapped().incarnation)
                continue;
            if (daemon.pausedUntil > m_now)
                at(daemon.pausedUntil, event.mapped().daemon, event.mapped().step);
            else
                event.mapped().step();
        }
        m_now = next;
        tick();
        request();
    }
    for (const auto& [key, runs] : m_runs) {
        ++m_result.ranKeys;
        m_result.doubleRuns += runs - 1;
    }
    m_result.keys = static_cast<unsigned>(m_keys.size());
    return m_result;
}

auto OnceFleet::chance(double share) -> bool { return std::uniform_real_distribution<>()(m_random) < share; }

auto OnceFleet::between(int least, int most) -> std::chrono::milliseconds
{
    return std::chrono::milliseconds(std::uniform_int_distribution<>(least, most)(m_random));
}

auto OnceFleet::at(MonotonicTime when, unsigned daemon, Step step) -> void
{
    m_events.emplace(
        std::pair(when, ++m_sequence), Event { daemon, m_daemons[daemon]->identity.incarnation, std::move(step) });
}

auto OnceFleet::send(unsigned to, const Step& step) -> void
{
    for (int copy = chance(m_options.repeatShare) ? 2 : 1; copy > 0; --copy) {
        const auto delay = chance(0.02) ? between(100, 6000) : between(1, 25);
        if (!chance(m_options.dropShare))
            at(m_now + delay, to, step);
    }
}

auto OnceFleet::restart(unsigned daemon) -> void
{
    auto& up = *m_daemons[daemon];
    up.identity = { "host" + std::to_string(daemon), ++m_sequence };
    up.isUp = true;
    up.startedAt = m_now;
    up.tenures.clear();
    up.awaited.clear();
    up.naiveLedger.clear();
    const auto patience = 500ms;
    up.ledger = std::make_unique<IdempotencyTable>(IdempotencyTable::Options { .seatCount = seatCount,
        .rebuild = { .retention = m_options.retention,
            .reportTimeout = patience,
            .isSpreadAcrossDataCentres = m_options.dataCentres > 1 } });
    up.attemptsAsOwner = std::make_unique<AttemptTable>(
        AttemptTable::Options { .seatCount = seatCount, .retention = m_options.retention }, up.identity);
    up.witness = std::make_unique<WitnessTable>(WitnessTable::Options { .retention = m_options.retention });
}

auto OnceFleet::lose(unsigned daemon) -> void
{
    auto& down = *m_daemons[daemon];
    if (!down.isUp)
        return;
    ++m_result.losses;
    down.isUp = false;
    const LostDaemon lost { down.identity, down.dataCentre, m_now };
    m_lost.push_back(lost);
    for (unsigned other = 0; other < m_daemons.size(); ++other)
        at(m_now + detectionDelay, other, [this, other, lost] { m_daemons[other]->ledger->markDaemonLost(lost); });
}

auto OnceFleet::tick() -> void
{
    const auto happens = [this](std::chrono::milliseconds every) {
        return every > 0ms && chance(std::chrono::duration<double>(m_options.requestEvery) / every);
    };
    const auto daemon = static_cast<unsigned>(m_random() % m_daemons.size());
    if (happens(m_options.lossEvery))
        lose(daemon);
    if (happens(m_options.pauseEvery))
        m_daemons[daemon]->pausedUntil = m_now + between(100, 9000);
    for (unsigned down = 0; down < m_daemons.size(); ++down) {
        if (!m_daemons[down]->isUp && chance(0.01))
            restart(down);
    }
    std::erase_if(m_lost, [this](const LostDaemon& lost) { return lost.lostAt < m_now - m_options.retention * 2; });
    keepSeats();
    reportOutcomes(daemon);
}

auto OnceFleet::keepSeats() -> void
{
    for (unsigned seat = 0; seat < seatCount; ++seat) {
        auto& held = m_seats[seat];
        auto& holder = *m_daemons[held.holder];
        if (holder.isUp && holder.identity == held.identity && holder.pausedUntil <= m_now && !chance(0.0005)) {
            held.validUntil = std::max(held.validUntil, m_now + tenureLength);
            auto& tenure = holder.tenures[seat];
            if (tenure.validUntil > m_now && chance(0.002)) { // its guards change
                tenure.formerHolder = held.identity;
                tenure.epoch = ++held.epoch;
                tenure.heldSince = held.heldSince = m_now;
            }
            tenure.validUntil = held.validUntil;
            holder.ledger->renewLease(tenure);
            holder.ledger->openSeat(tenure, members(), m_lost, m_now);
            askForReports(seat);
        } else if (m_now > held.validUntil) {
            moveSeat(seat);
        }
    }
}

auto OnceFleet::moveSeat(unsigned seat) -> void
{
    auto& held = m_seats[seat];
    const auto next = static_cast<unsigned>(m_random() % m_daemons.size());
    auto& holder = *m_daemons[next];
    if (!holder.isUp || holder.pausedUntil > m_now)
        return;
    SeatLease tenure { seat, held.epoch + 1, m_now + tenureLength, m_now, {}, {} };
    if (held.epoch > 0) {
        tenure.formerHolder = held.identity;
        tenure.formerHoldDuration = m_now - held.heldSince;
        ++m_result.seatMoves;
    }
    held = { next, holder.identity, tenure.epoch, m_now, tenure.validUntil };
    holder.tenures[seat] = tenure;
    holder.ledger->openSeat(tenure, members(), m_lost, m_now);
}

auto OnceFleet::members() const -> std::vector<SeatRebuild::Member>
{
    std::vector<SeatRebuild::Member> members;
    for (const auto& daemon : m_daemons) {
        if (daemon->isUp)
            members.push_back({ daemon->identity, daemon->dataCentre });
    }
    return members;
}

auto OnceFleet::askForReports(unsigned seat) -> void
{
    const auto holder = m_seats[seat].holder;
    const auto epoch = m_seats[seat].epoch;
    for (const auto& missing : m_daemons[holder]->ledger->missingReports(seat)) {
        for (unsigned peer = 0; peer < m_daemons.size(); ++peer) {
            if (m_daemons[peer]->identity != missing || chance(0.8))
                continue;
            send(peer, [this, peer, seat, epoch, holder] {
                auto& asked = *m_daemons[peer];
                RebuildReport report { asked.identity, asked.startedAt, {}, m_lost, {} };
                for (auto&& part : { asked.attemptsAsOwner->fenceAndCollect(seat, epoch, m_now),
                         asked.witness->recordsOf(seat, seatCount, m_now), asked.ledger->recordsOf(seat, m_now) })
                    report.records.insert(report.records.end(), part.begin(), part.end());
                send(holder, [this, holder, seat, epoch, report] {
                    m_daemons[holder]->ledger->addReport(seat, epoch, report, m_now);
                });
            });
        }
    }
}

auto OnceFleet::request() -> void
{
    ++m_result.sent;
    const auto entry = static_cast<unsigned>(m_random() % m_daemons.size());
    const auto isYoung = [this](const auto& key) { return key.second > m_now - m_options.retention * 3 / 5; };
    const auto young = std::find_if(m_keys.begin(), m_keys.end(), isYoung);
    IdempotencyKey key { m_random(), m_random() };
    if (young != m_keys.end() && chance(m_options.resendShare)) {
        const auto count = static_cast<std::uint64_t>(std::distance(young, m_keys.end()));
        // Most resends come soon after the first try.
        const auto back = chance(0.7) ? m_random() % std::min<std::uint64_t>(count, 40) : m_random() % count;
        key = std::prev(m_keys.end(), static_cast<std::ptrdiff_t>(back + 1))->first;
    } else {
        m_keys.emplace_back(key, m_now);
    }
    at(m_now, entry, [this, entry, key] { enter(entry, key); });
}

auto OnceFleet::enter(unsigned entry, IdempotencyKey key) -> void
{
    auto& daemon = *m_daemons[entry];
    const AttemptId attempt { daemon.identity.incarnation, ++daemon.attempts };
    const auto owner = static_cast<unsigned>(m_random() % m_daemons.size());
    if (m_options.isNaive) {
        if (!daemon.naiveLedger.emplace(key, true).second)
            return;
        at(m_now, owner, [this, owner, attempt, key] { runAtTarget(owner, attempt, key); });
        return;
    }
    send(owner, [this, owner, attempt, key] { own(owner, attempt, key); });
}

auto OnceFleet::own(unsigned owner, AttemptId attempt, IdempotencyKey key) -> void
{
    auto& daemon = *m_daemons[owner];
    if (!daemon.attemptsAsOwner->open(attempt, key, fingerprint, m_now))
        return;
    const auto& holder = m_seats[seatOf(key, seatCount)].identity;
    auto candidates = members();
    std::shuffle(candidates.begin(), candidates.end(), m_random);
    const auto witnesses
        = selectWitnesses(holder, { daemon.identity, daemon.dataCentre }, candidates, m_options.dataCentres > 1);
    if (!witnesses) {
        daemon.attemptsAsOwner->close(attempt, NotRun {});
        return;
    }
    daemon.awaited[attempt] = { 0 };
    const AttemptRecord record { key, attempt, daemon.identity, fingerprint, 0, Running {}, m_now };
    for (const auto& chosen : *witnesses) {
        const auto isChosen = [&](const auto& peer) { return peer->identity == chosen.identity; };
        const auto found = std::find_if(m_daemons.begin(), m_daemons.end(), isChosen);
        const auto peer = static_cast<unsigned>(std::distance(m_daemons.begin(), found));
        daemon.awaited[attempt].insert(peer + 1);
        send(peer, [this, peer, owner, record] {
            if (!m_daemons[peer]->witness->add(record, m_now))
                return;
            at(m_now + between(1, 20), owner, [=, this] { becomeReady(owner, peer + 1, record.attempt, record.key); });
        });
    }
    askPermit(owner, attempt, key);
    if (chance(0.1)) // asked again, as after a lost answer
        askPermit(owner, attempt, key);
    at(m_now + 5s, owner, [this, owner, attempt] {
        if (m_daemons[owner]->awaited.erase(attempt) > 0)
            m_daemons[owner]->attemptsAsOwner->close(attempt, NotRun {});
    });
}

auto OnceFleet::askPermit(unsigned owner, AttemptId attempt, IdempotencyKey key) -> void
{
    const auto seat = seatOf(key, seatCount);
    const auto holder = m_seats[seat].holder;
    const PermitRequest request { key, attempt, m_daemons[owner]->identity, fingerprint };
    send(holder, [this, request, seat, holder, owner, askedAt = m_now] {
        auto& decider = *m_daemons[holder];
        const auto held = decider.tenures.find(seat);
        const auto tenure = held == decider.tenures.end() ? std::nullopt : std::optional(held->second);
        const auto answer = decider.ledger->requestPermit(request, tenure, m_now);
        if (const auto* busy = std::get_if<InProgress>(&answer)) {
            for (unsigned peer = 0; peer < m_daemons.size(); ++peer) {
                if (m_daemons[peer]->identity != busy->owner)
                    continue;
                send(peer, [this, peer, holder, key = request.key, asked = busy->attempt] {
                    const auto outcome = m_daemons[peer]->attemptsAsOwner->outcome(asked);
                    send(holder, [=, this] { m_daemons[holder]->ledger->recordOutcome(key, asked, outcome, m_now); });
                });
            }
        }
        send(owner,
            [this, owner, request, answer, askedAt] { decide(owner, request.attempt, request.key, answer, askedAt); });
    });
}

auto OnceFleet::decide(
    unsigned owner, AttemptId attempt, IdempotencyKey key, const PermitResponse& answer, MonotonicTime askedAt) -> void
{
    auto& daemon = *m_daemons[owner];
    if (!daemon.awaited.contains(attempt))
        return;
    const auto* permit = std::get_if<Permit>(&answer);
    if (!permit) {
        daemon.awaited.erase(attempt);
        count(answer, key);
        daemon.attemptsAsOwner->close(attempt, NotRun {});
        return;
    }
    daemon.attemptsAsOwner->applyPermit(attempt, *permit, askedAt);
    becomeReady(owner, 0, attempt, key);
}

auto OnceFleet::becomeReady(unsigned owner, unsigned part, AttemptId attempt, IdempotencyKey key) -> void
{
    auto& daemon = *m_daemons[owner];
    const auto waits = daemon.awaited.find(attempt);
    if (waits == daemon.awaited.end())
        return;
    waits->second.erase(part);
    if (!waits->second.empty())
        return;
    daemon.awaited.erase(waits);
    at(m_now + between(0, 400), owner, [=, this] { runAtTarget(owner, attempt, key); }); // it waits for its slot
}

auto OnceFleet::runAtTarget(unsigned owner, AttemptId attempt, IdempotencyKey key) -> void
{
    auto& daemon = *m_daemons[owner];
    if (!m_options.isNaive && !daemon.attemptsAsOwner->tryStart(attempt, m_now))
        return;
    ++m_runs[key];
    at(m_now + between(2, 300), owner, [this, owner, attempt] {
        const Ran ran { 201, StoredResponse { "text/plain", "done" } };
        const auto outcome = chance(0.02) ? AttemptOutcome { Unknown {} } : AttemptOutcome { ran };
        m_daemons[owner]->attemptsAsOwner->close(attempt, outcome);
    });
}

auto OnceFleet::reportOutcomes(unsigned owner) -> void
{
    if (!m_daemons[owner]->isUp)
        return;
    for (const auto& record : m_daemons[owner]->attemptsAsOwner->unreported()) {
        const auto seat = seatOf(record.key, seatCount);
        send(m_seats[seat].holder, [this, owner, seat, record, holder = m_seats[seat].holder] {
            auto& holding = *m_daemons[holder];
            if (m_seats[seat].identity != holding.identity)
                return;
            holding.ledger->recordOutcome(record.key, record.attempt, record.outcome, m_now);
            send(owner,
                [this, owner, attempt = record.attempt] { m_daemons[owner]->attemptsAsOwner->acknowledge(attempt); });
        });
    }
}

auto OnceFleet::count(const PermitResponse& answer, IdempotencyKey key) -> void
{
    m_result.knownAnswers += std::holds_alternative<AlreadyRan>(answer) ? 1 : 0;
    m_result.refused += std::holds_alternative<PermitRefused>(answer) ? 1 : 0;
    if (!std::holds_alternative<OutcomeUnknown>(answer))
        return;
    ++m_result.unknownAnswers;
    m_result.unknownOfNewKeys += m_runs.contains(key) ? 0 : 1;
}

} // namespace coriandergate::testing
