#include "daemon/LedgerOnceGate.h"

#include "daemon/PeerRouter.h"
#include "http/Exchange.h"
#include "http/Problem.h"
#include "http/Status.h"
#include "http/WorkerPool.h"
#include "log/Event.h"
#include "once/OnceCodec.h"
#include "once/WitnessSelection.h"
#include "proxy/ProxyContext.h"
#include "proxy/RequestContext.h"

#include <algorithm>
#include <future>

namespace coriandergate::daemon {

using std::chrono::milliseconds;

namespace {

    constexpr milliseconds retryAfter { 1000 };
    constexpr milliseconds reportInterval { 300 }; // between two questions for the same report
    constexpr std::size_t outcomesATick = 200;
    constexpr milliseconds handOverTimeout { 1000 };

    const log::Event seatOpened { 1701, log::Severity::Info, "seats opened for once-only requests",
        "the fleet is asked what it remembers; resends wait meanwhile" };
    const log::Event outcomeUnknown { 1702, log::Severity::Warning, "once-only request of unknown outcome",
        "it may have run before a host was lost, and was not run again; see docs/operations/once.md" };

    auto makeRefusal(int status, proxy::Outcome outcome, std::string reason) -> proxy::Refusal
    {
        proxy::Refusal refusal;
        refusal.status = status;
        refusal.outcome = outcome;
        refusal.error = { "run at most once", "", std::move(reason) };
        return refusal;
    }

    auto notRunNow(std::string reason) -> proxy::Refusal
    {
        auto refusal = makeRefusal(http::statusUnavailable, proxy::Outcome::NotRun, std::move(reason));
        refusal.retryAfter = retryAfter;
        return refusal;
    }

    auto replay(const once::Ran& ran) -> proxy::OnceDecision
    {
        if (!ran.response)
            return makeRefusal(http::statusConflict, proxy::Outcome::Ran,
                "it ran, and its answer, of status " + std::to_string(ran.status) + ", was too large to keep");
        auto answer = http::makeAnswer(ran.status, ran.response->contentType, ran.response->body);
        answer.headers.add("Idempotent-Replayed", "true");
        return proxy::KeptAnswer { std::move(answer) };
    }

    auto isNotHolder(const once::PermitResponse& answer) -> bool
    {
        const auto* const refused = std::get_if<once::PermitRefused>(&answer);
        return refused && refused->reason == once::PermitRefused::Reason::NotHolder;
    }

    auto textOf(once::PermitRefused::Reason reason) -> std::string
    {
        switch (reason) {
        case once::PermitRefused::Reason::NotHolder:
            return "the daemon asked doesn't hold the key's seat now";
        case once::PermitRefused::Reason::Rebuilding:
            return "the key's seat has a new holder, which is asking the fleet";
        case once::PermitRefused::Reason::TableFull:
            return "the ledger has no room for another key";
        }
        return "refused";
    }

} // namespace

// Books are what this daemon remembers in each of its roles.
struct LedgerOnceGate::Books {
    Books(const Options& options, const DaemonIdentity& self)
        : ledger(options.ledger)
        , attempts(options.attempts, self)
        , witness(options.witness)
    {
    }

    once::IdempotencyTable ledger;
    once::AttemptTable attempts;
    once::WitnessTable witness;
};

// Ask is one attempt's way to its permit; it lives on one worker.
struct LedgerOnceGate::Ask {
    once::AttemptLabel label;
    MonotonicTime openedAt;
    MonotonicTime deadline;
    std::size_t worker = 0;
    unsigned asks = 0;
    std::set<std::string> awaited; // "permit", and the addresses of the witnesses
    std::optional<proxy::Refusal> witnessFailure; // why too few will remember it
    bool isRefused = false; // the decision may wait for the holder to be told
    std::function<void(proxy::OnceDecision)> decided; // empty once it was called

    auto decide(proxy::OnceDecision decision) -> void
    {
        if (auto callback = std::exchange(decided, nullptr))
            callback(std::move(decision));
    }
};

LedgerOnceGate::LedgerOnceGate(Options options, std::shared_ptr<const proxy::ProxyContext> context,
    std::shared_ptr<const OnceFleetView> view, MonotonicTime now)
    : m_options(options)
    , m_context(std::move(context))
    , m_view(std::move(view))
    , m_remembersSince(now)
{
}

LedgerOnceGate::~LedgerOnceGate() = default;

auto LedgerOnceGate::label(const proxy::RequestContext& context) -> std::string
{
    return once::encodeLabel({ once::makeIdempotencyKey(context.clientAccount, context.idempotencyKey),
        { m_context->self.incarnation, ++m_nextAttempt }, context.fingerprint });
}

auto LedgerOnceGate::begin(const std::string& label, MonotonicTime deadline, MonotonicTime now,
    std::function<void(proxy::OnceDecision)> decided) -> void
{
    Error reason;
    const auto parsed = once::decodeLabel(label, reason);
    if (!parsed || !books()) {
        decided(notRunNow(parsed ? "no seats are known yet" : reason.toText()));
        return;
    }
    if (!books()->attempts.open(parsed->attempt, parsed->key, parsed->fingerprint, now)) {
        decided(makeRefusal(http::statusConflict, proxy::Outcome::MayHaveRun, "this very attempt came before"));
        return;
    }
    const auto ask = std::make_shared<Ask>();
    ask->label = *parsed;
    ask->openedAt = now;
    ask->deadline = deadline;
    ask->worker = anyWorker();
    ask->awaited = { "permit" };
    ask->decided = std::move(decided);
    m_context->runOn(ask->worker, [self = shared_from_this(), ask, now] {
        self->askWitnesses(ask, now);
        if (ask->decided)
            self->askPermit(ask);
    });
}

auto LedgerOnceGate::askWitnesses(const std::shared_ptr<Ask>& ask, MonotonicTime now) -> void
{
    if (m_options.spread == Spread::None)
        return;
    auto candidates = m_view->members();
    const once::SeatRebuild::Member self { m_context->self, m_context->locality.dataCentre };
    const auto holder = m_view->holderOf(seatOf(ask->label.key, m_view->seatCount()));
    // The same key tries the same witnesses first, other keys others.
    if (!candidates.empty())
        std::rotate(candidates.begin(),
            candidates.begin() + static_cast<std::ptrdiff_t>(ask->label.key.low % candidates.size()), candidates.end());
    const auto witnesses
        = holder ? selectWitnesses(*holder, self, candidates, m_options.spread == Spread::DataCentre) : std::nullopt;
    if (!witnesses) {
        failWitness(ask, notRunNow("too few other daemons are known that could remember it"));
        return;
    }
    for (const auto& witness : *witnesses)
        ask->awaited.insert(witness.identity.address);
    const once::AttemptRecord record { ask->label.key, ask->label.attempt, m_context->self, ask->label.fingerprint, 0,
        once::Running {}, ask->openedAt };
    for (const auto& witness : *witnesses) {
        call(ask->worker, witness.identity.address, "/once/note", once::encodeRecord(record, now),
            [self = shared_from_this(), ask, address = witness.identity.address](std::optional<std::string> answer) {
                if (answer)
                    self->onAgreed(ask, address);
                else
                    self->failWitness(ask, notRunNow("a daemon that was to remember it can't be reached"));
            });
    }
}

// What the holder knows of the key is told even if a new attempt could not be remembered.
auto LedgerOnceGate::failWitness(const std::shared_ptr<Ask>& ask, proxy::Refusal refusal) -> void
{
    if (!ask->awaited.contains("permit"))
        refuse(ask, std::move(refusal));
    else if (!ask->witnessFailure)
        ask->witnessFailure = std::move(refusal);
}

auto LedgerOnceGate::askPermit(const std::shared_ptr<Ask>& ask) -> void
{
    const auto askedAt = monotonicNow();
    const auto seat = seatOf(ask->label.key, m_view->seatCount());
    const auto holder = m_view->holderOf(seat);
    if (!holder || askedAt >= ask->deadline || ++ask->asks > m_options.maximumAsks) {
        refuse(ask, notRunNow("the daemon that holds the key's seat can't be reached"));
        return;
    }
    const once::PermitRequest request { ask->label.key, ask->label.attempt, m_context->self, ask->label.fingerprint };
    if (*holder == m_context->self) {
        const auto answer = decidePermit(request, askedAt);
        if (!isNotHolder(answer)) {
            onPermitAnswer(ask, answer, askedAt);
            return;
        }
        m_view->rejectHolder(seat, *holder);
        askPermit(ask);
        return;
    }
    call(ask->worker, holder->address, "/once/permit", once::encodePermitRequest(request),
        [self = shared_from_this(), ask, askedAt, seat, holder = *holder](std::optional<std::string> answer) {
            Error reason;
            const auto decoded = answer ? once::decodePermitResponse(*answer, reason) : std::nullopt;
            if (decoded && !isNotHolder(*decoded)) {
                self->onPermitAnswer(ask, *decoded, askedAt);
            } else if (ask->decided) { // the same attempt may be asked for again
                self->m_view->rejectHolder(seat, holder);
                self->askPermit(ask);
            }
        });
}

auto LedgerOnceGate::onPermitAnswer(
    const std::shared_ptr<Ask>& ask, const once::PermitResponse& answer, MonotonicTime askedAt) -> void
{
    if (!ask->decided)
        return;
    if (const auto* permit = std::get_if<once::Permit>(&answer)) {
        books()->attempts.applyPermit(ask->label.attempt, *permit, askedAt);
        if (!ask->witnessFailure) {
            onAgreed(ask, "permit");
            return;
        }
        ask->awaited.erase("permit");
        refuse(ask, *ask->witnessFailure);
        return;
    }
    books()->attempts.close(ask->label.attempt, once::NotRun {});
    books()->attempts.acknowledge(ask->label.attempt); // it was never granted
    if (const auto* ran = std::get_if<once::AlreadyRan>(&answer)) {
        ++m_counts.replayed;
        ask->decide(replay(ran->outcome));
    } else if (std::holds_alternative<once::InProgress>(answer)) {
        ++m_counts.inProgress;
        auto refusal = makeRefusal(
            http::statusConflict, proxy::Outcome::MayHaveRun, "an earlier request with this key is running");
        refusal.retryAfter = retryAfter;
        ask->decide(std::move(refusal));
    } else if (std::holds_alternative<once::FingerprintMismatch>(answer)) {
        ++m_counts.refused;
        ask->decide(makeRefusal(
            http::statusUnprocessable, proxy::Outcome::NotRun, "this key was used for another request before"));
    } else if (const auto* refused = std::get_if<once::PermitRefused>(&answer)) {
        ++m_counts.refused;
        auto refusal = notRunNow(textOf(refused->reason));
        refusal.retryAfter = std::max(retryAfter, std::chrono::ceil<milliseconds>(refused->retryAfter));
        ask->decide(std::move(refusal));
    } else {
        ++m_counts.unknown;
        log::logEvent(outcomeUnknown, { { "label", once::encodeLabel(ask->label) } });
        ask->decide(makeRefusal(http::statusConflict, proxy::Outcome::MayHaveRun,
            "it is not known whether an earlier request with this key ran; it was not run again"));
    }
}

auto LedgerOnceGate::onAgreed(const std::shared_ptr<Ask>& ask, const std::string& part) -> void
{
    ask->awaited.erase(part);
    if (!ask->awaited.empty() || !ask->decided)
        return;
    ++m_counts.permitted;
    ask->decide(proxy::RunPermit {});
}

auto LedgerOnceGate::refuse(const std::shared_ptr<Ask>& ask, proxy::Refusal refusal) -> void
{
    if (!ask->decided || std::exchange(ask->isRefused, true))
        return;
    ++m_counts.refused;
    // A permit may be on its way: the holder is told that it won't be used.
    books()->attempts.close(ask->label.attempt, once::NotRun {});
    if (ask->awaited.contains("permit")) {
        ask->decide(std::move(refusal));
        return;
    }
    // The caller learns of it after the holder, which would call a resend one of a running request until then.
    report({ ask->label.key, ask->label.attempt, m_context->self, ask->label.fingerprint, 0, once::NotRun {},
               ask->openedAt },
        [ask, refusal = std::move(refusal)] { ask->decide(refusal); });
}

auto LedgerOnceGate::check(const std::string& label, MonotonicTime now) -> std::optional<proxy::Refusal>
{
    Error reason;
    const auto parsed = once::decodeLabel(label, reason);
    if (parsed && books() && books()->attempts.tryStart(parsed->attempt, now))
        return std::nullopt;
    return notRunNow("the permit ran out while the request waited");
}

auto LedgerOnceGate::finish(
    const std::string& label, proxy::Outcome outcome, const http::Answer* answer, MonotonicTime now) -> void
{
    Error reason;
    const auto parsed = once::decodeLabel(label, reason);
    if (!parsed || !books())
        return;
    once::AttemptOutcome ended = once::Unknown {};
    if (outcome == proxy::Outcome::NotRun)
        ended = once::NotRun {};
    if (outcome == proxy::Outcome::Ran && answer) {
        once::Ran ran { answer->status, {} };
        if (answer->body.size() <= m_options.attempts.maximumResponseBytes)
            ran.response
                = once::StoredResponse { std::string(answer->headers.find("Content-Type").value_or("")), answer->body };
        ended = std::move(ran);
    }
    books()->attempts.close(parsed->attempt, ended);
    once::AttemptRecord record { parsed->key, parsed->attempt, m_context->self, parsed->fingerprint, 0,
        books()->attempts.outcome(parsed->attempt), now };
    report(record);
}

auto LedgerOnceGate::report(const once::AttemptRecord& record, const std::function<void()>& told) -> void
{
    const auto holder = m_view->holderOf(seatOf(record.key, m_view->seatCount()));
    if (!holder) {
        told();
        return;
    }
    const auto now = monotonicNow();
    if (*holder == m_context->self) {
        if (takeOutcome(record, now))
            books()->attempts.acknowledge(record.attempt);
        told();
        return;
    }
    const auto worker = anyWorker();
    m_context->runOn(worker, [self = shared_from_this(), worker, record, now, told, address = holder->address] {
        self->call(worker, address, "/once/finish", once::encodeRecord(record, now),
            [self, told, attempt = record.attempt](std::optional<std::string> answer) {
                if (answer)
                    self->books()->attempts.acknowledge(attempt);
                told();
            });
    });
}

auto LedgerOnceGate::takeOutcome(const once::AttemptRecord& record, MonotonicTime now) -> bool
{
    if (!m_view->tenureOf(seatOf(record.key, m_view->seatCount()), now))
        return false;
    books()->ledger.recordOutcome(record.key, record.attempt, record.outcome, now);
    return true;
}

auto LedgerOnceGate::decidePermit(const once::PermitRequest& request, MonotonicTime now) -> once::PermitResponse
{
    const auto seat = seatOf(request.key, m_view->seatCount());
    auto answer = books()->ledger.requestPermit(request, m_view->tenureOf(seat, now), now);
    if (const auto* busy = std::get_if<once::InProgress>(&answer))
        inquire(request.key, *busy);
    return answer;
}

// The owner's last word may have been lost; a later resend then finds what it says now.
auto LedgerOnceGate::inquire(const once::IdempotencyKey& key, const once::InProgress& busy) -> void
{
    const auto settle = [self = shared_from_this(), key, attempt = busy.attempt](const once::AttemptOutcome& outcome) {
        if (!std::holds_alternative<once::Running>(outcome))
            self->books()->ledger.recordOutcome(key, attempt, outcome, monotonicNow());
    };
    if (busy.owner == m_context->self) {
        settle(books()->attempts.outcome(busy.attempt));
        return;
    }
    const auto worker = anyWorker();
    m_context->runOn(worker, [self = shared_from_this(), worker, busy, settle] {
        self->call(worker, busy.owner.address, "/once/status", once::encodeOutcomeRequest({ busy.owner, busy.attempt }),
            [settle](std::optional<std::string> answer) {
                Error reason;
                if (const auto outcome = answer ? once::decodeOutcome(*answer, reason) : std::nullopt)
                    settle(*outcome);
            });
    });
}

auto LedgerOnceGate::openBooks() -> void
{
    auto options = m_options;
    options.ledger.seatCount = m_view->seatCount();
    options.attempts.seatCount = m_view->seatCount();
    m_books = std::make_unique<Books>(options, m_context->self);
    m_openBooks = m_books.get();
}

auto LedgerOnceGate::tick(MonotonicTime now) -> void
{
    if (m_view->seatCount() == 0)
        return;
    if (!m_books)
        openBooks();
    for (const auto& lost : m_view->lost()) {
        if (m_notedLost.insert(lost.identity).second)
            books()->ledger.markDaemonLost(lost);
    }
    std::size_t missing = 0;
    for (unsigned seat = 0; seat < m_view->seatCount(); ++seat) {
        if (const auto tenure = m_view->tenureOf(seat, now)) {
            rebuild(seat, *tenure, now);
            missing += books()->ledger.missingReports(seat).size();
        }
    }
    m_missingReports = missing;
    if (const auto opened = std::exchange(m_newlyOpened, 0); opened > 0)
        log::logEvent(seatOpened, { { "seats", std::to_string(opened) } });
    const auto unreported = books()->attempts.unreported();
    for (std::size_t index = 0; index < std::min(unreported.size(), outcomesATick); ++index)
        report(unreported[index]);
}

auto LedgerOnceGate::rebuild(unsigned seat, const once::SeatLease& tenure, MonotonicTime now) -> void
{
    books()->ledger.renewLease(tenure);
    auto& epoch = m_openEpochs[seat];
    if (epoch != tenure.epoch) {
        epoch = tenure.epoch;
        books()->ledger.openSeat(tenure, m_view->members(), m_view->lost(), now);
        if (tenure.formerHolder)
            ++m_newlyOpened;
    }
    const auto missing = books()->ledger.missingReports(seat);
    auto& askedAt = m_askedReportsAt[seat];
    if (missing.empty() || now < askedAt + reportInterval)
        return;
    askedAt = now;
    for (const auto& peer : missing) {
        if (peer == m_context->self) {
            books()->ledger.addReport(seat, epoch, reportOf(seat, epoch, now), now);
            continue;
        }
        const auto worker = anyWorker();
        m_context->runOn(
            worker, [self = shared_from_this(), worker, seat, epoch = tenure.epoch, address = peer.address] {
                self->call(worker, address, "/once/report", once::encodeReportRequest({ seat, epoch }),
                    [self, seat, epoch](std::optional<std::string> answer) {
                        Error reason;
                        const auto received = monotonicNow();
                        if (const auto report = answer ? once::decodeReport(*answer, received, reason) : std::nullopt)
                            self->books()->ledger.addReport(seat, epoch, *report, received);
                    });
            });
    }
}

auto LedgerOnceGate::reportOf(unsigned seat, std::uint64_t epoch, MonotonicTime now) -> once::RebuildReport
{
    once::RebuildReport report;
    report.from = m_context->self;
    report.records = books()->attempts.fenceAndCollect(seat, epoch, now);
    report.lost = knownLosses(now);
    for (const auto& records :
        { books()->witness.recordsOf(seat, m_view->seatCount(), now), books()->ledger.recordsOf(seat, now) })
        report.records.insert(report.records.end(), records.begin(), records.end());
    const MutexLock lock(m_absorbedMutex);
    report.historyStart = m_remembersSince;
    report.takenOverFrom = m_absorbed;
    return report;
}

auto LedgerOnceGate::knownLosses(MonotonicTime now) -> std::vector<once::LostDaemon>
{
    auto lost = m_view->lost();
    const MutexLock lock(m_absorbedMutex);
    std::erase_if(m_absorbedLosses,
        [&](const once::LostDaemon& daemon) { return daemon.lostAt < now - 2 * m_options.ledger.rebuild.retention; });
    lost.insert(lost.end(), m_absorbedLosses.begin(), m_absorbedLosses.end());
    return lost;
}

auto LedgerOnceGate::successor() const -> std::optional<DaemonIdentity>
{
    if (m_options.spread != Spread::DataCentre)
        return std::nullopt;
    for (const auto& member : m_view->members()) {
        if (member.identity != m_context->self && member.dataCentre == m_context->locality.dataCentre)
            return member.identity;
    }
    return std::nullopt;
}

auto LedgerOnceGate::handOver(MonotonicTime now) -> bool
{
    const auto to = successor();
    if (!to || !books())
        return false;
    once::RebuildReport report;
    report.from = m_context->self;
    report.records = books()->attempts.handOver(now);
    const auto noted = books()->witness.handOver(now);
    report.records.insert(report.records.end(), noted.begin(), noted.end());
    report.lost = knownLosses(now);
    {
        const MutexLock lock(m_absorbedMutex);
        report.historyStart = m_remembersSince;
        report.takenOverFrom = m_absorbed;
    }
    const auto isTaken = std::make_shared<std::promise<bool>>();
    auto result = isTaken->get_future();
    m_context->runOn(0, [self = shared_from_this(), isTaken, address = to->address, body = encodeReport(report, now)] {
        self->call(0, address, "/once/absorb", body,
            [isTaken](const std::optional<std::string>& answer) { isTaken->set_value(answer.has_value()); });
    });
    return result.wait_for(handOverTimeout) == std::future_status::ready && result.get();
}

// Only what was taken whole may be told to others as taken.
auto LedgerOnceGate::absorb(const once::RebuildReport& report, MonotonicTime now) -> bool
{
    for (const auto& record : report.records) {
        if (!books()->witness.add(record, now))
            return false;
    }
    const MutexLock lock(m_absorbedMutex);
    m_absorbed.push_back(report.from);
    m_absorbed.insert(m_absorbed.end(), report.takenOverFrom.begin(), report.takenOverFrom.end());
    // Who claims the other's history must also know which daemons were lost in it.
    m_absorbedLosses.insert(m_absorbedLosses.end(), report.lost.begin(), report.lost.end());
    m_remembersSince = std::min(m_remembersSince, report.historyStart);
    return true;
}

auto LedgerOnceGate::addHandlers(PeerRouter& router) -> void
{
    addHandler(
        router, "/once/permit", [this](const std::string& body, MonotonicTime now) -> std::optional<std::string> {
            Error reason;
            const auto request = once::decodePermitRequest(body, reason);
            if (!request)
                return std::nullopt;
            return once::encodePermitResponse(decidePermit(*request, now));
        });
    addHandler(router, "/once/note", [this](const std::string& body, MonotonicTime now) -> std::optional<std::string> {
        Error reason;
        const auto record = once::decodeRecord(body, now, reason);
        return record && books()->witness.add(*record, now) ? std::optional<std::string>("") : std::nullopt;
    });
    addHandler(
        router, "/once/finish", [this](const std::string& body, MonotonicTime now) -> std::optional<std::string> {
            Error reason;
            const auto record = once::decodeRecord(body, now, reason);
            return record && takeOutcome(*record, now) ? std::optional<std::string>("") : std::nullopt;
        });
    addHandler(
        router, "/once/absorb", [this](const std::string& body, MonotonicTime now) -> std::optional<std::string> {
            Error reason;
            const auto report = once::decodeReport(body, now, reason);
            return report && absorb(*report, now) ? std::optional<std::string>("") : std::nullopt;
        });
    addHandler(router, "/once/status", [this](const std::string& body, MonotonicTime) -> std::optional<std::string> {
        Error reason;
        const auto request = once::decodeOutcomeRequest(body, reason);
        if (!request || request->owner != m_context->self)
            return std::nullopt; // another run's attempts are not known here
        return once::encodeOutcome(books()->attempts.outcome(request->attempt));
    });
    addHandler(
        router, "/once/report", [this](const std::string& body, MonotonicTime now) -> std::optional<std::string> {
            Error reason;
            const auto request = once::decodeReportRequest(body, reason);
            if (!request)
                return std::nullopt;
            return once::encodeReport(reportOf(request->seat, request->epoch, now), now);
        });
}

auto LedgerOnceGate::keys() const -> std::size_t { return books() ? books()->ledger.keyCount() : 0; }

auto LedgerOnceGate::addHandler(PeerRouter& router, const std::string& path, Handler handler) -> void
{
    router.add("POST", path, [self = shared_from_this(), handler = std::move(handler)](auto exchange) -> void {
        auto answer = self->books() ? handler(exchange->request().body, monotonicNow()) : std::nullopt;
        if (answer)
            exchange->answer(http::makeAnswer(200, "application/cbor", std::move(*answer)));
        else
            exchange->answer(http::makeAnswer(http::statusConflict, http::problemContentType,
                http::problemBody(http::statusConflict, "it can't be done by this daemon now")));
    });
}

auto LedgerOnceGate::call(
    std::size_t worker, const std::string& peer, const std::string& path, std::string body, Done done) -> void
{
    http::Request request { .method = "POST", .target = path, .headers = {}, .body = std::move(body) };
    request.headers.add("Host", peer);
    request.headers.add("Content-Type", "application/cbor");
    m_context->client(worker).send(
        peer, request, { .timeout = m_options.askTimeout }, [done = std::move(done)](http::ExchangeResult result) {
            auto* answer = std::get_if<http::Answer>(&result);
            done(answer && answer->status == 200 ? std::optional(std::move(answer->body)) : std::nullopt);
        });
}

auto LedgerOnceGate::anyWorker() const -> std::size_t
{
    const auto current = m_context->workers->current();
    return current < m_context->workers->size() ? current : 0;
}

} // namespace coriandergate::daemon
