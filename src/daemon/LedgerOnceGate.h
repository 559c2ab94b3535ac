// The proxy's OnceGate on the ledgers, attempts and witnesses of once/.
//
//   auto gate = std::make_shared<LedgerOnceGate>(options, context, view);
//   gate->addHandlers(*kernel.find<PeerRouter>());
//   gate->tick(now); // a few times a second: rebuilds of seats, outcomes not yet told
//
// An attempt is begun by two kinds of question at once: the holder of the key's seat is asked for a permit, and other
// daemons to remember the attempt. Only when all have agreed may it wait for its slot.
#pragma once

#include "base/Mutex.h"
#include "daemon/OnceFleetView.h"
#include "once/AttemptTable.h"
#include "once/IdempotencyTable.h"
#include "once/WitnessTable.h"
#include "proxy/OnceGate.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace coriandergate::http {
class Exchange;
}
namespace coriandergate::proxy {
struct ProxyContext;
}

namespace coriandergate::daemon {

class PeerRouter;

// LedgerOnceGate is safe from any thread, but for addHandlers() and tick(), which are for the main thread.
class LedgerOnceGate : public proxy::OnceGate, public std::enable_shared_from_this<LedgerOnceGate> {
public:
    enum class Spread {
        None, // no other daemon remembers: for a single daemon
        Host, // another host does
        DataCentre, // a host of another data centre does
    };

    struct Options {
        once::IdempotencyTable::Options ledger;
        once::AttemptTable::Options attempts;
        once::WitnessTable::Options witness;
        Spread spread = Spread::DataCentre;
        std::chrono::milliseconds askTimeout { 300 }; // for one question to another daemon
        unsigned maximumAsks = 3; // for one permit
    };

    // Counts is what became of the attempts that this daemon began.
    struct Counts {
        std::atomic<std::uint64_t> permitted = 0;
        std::atomic<std::uint64_t> replayed = 0; // answered with what is kept
        std::atomic<std::uint64_t> inProgress = 0;
        std::atomic<std::uint64_t> unknown = 0;
        std::atomic<std::uint64_t> refused = 0; // not run
    };

    LedgerOnceGate(Options options, std::shared_ptr<const proxy::ProxyContext> context,
        std::shared_ptr<const OnceFleetView> view, MonotonicTime now);
    ~LedgerOnceGate() override;

    // addHandlers() takes up the questions of other daemons.
    auto addHandlers(PeerRouter& router) -> void;

    auto label(const proxy::RequestContext& context) -> std::string override;
    auto begin(const std::string& label, MonotonicTime deadline, MonotonicTime now,
        std::function<void(proxy::OnceDecision)> decided) -> void override;
    auto check(const std::string& label, MonotonicTime now) -> std::optional<proxy::Refusal> override;
    auto finish(const std::string& label, proxy::Outcome outcome, const http::Answer* answer, MonotonicTime now)
        -> void override;

    // handOver() gives all that this daemon remembers to another one of its data centre, for a planned stop, and starts
    // nothing any more. The other must not be where the second copies are, so it is done only when those are kept in
    // other data centres. True when the other has taken it, within a second. Not from a worker.
    auto handOver(MonotonicTime now) -> bool;

    // tick() opens the ledgers of seats that this daemon has come to hold, asks for missing reports, and tells outcomes
    // again that were not acknowledged.
    auto tick(MonotonicTime now) -> void;

    [[nodiscard]] auto counts() const -> const Counts& { return m_counts; }
    [[nodiscard]] auto keys() const -> std::size_t;
    [[nodiscard]] auto missingReports() const -> std::size_t { return m_missingReports; }

private:
    struct Ask;
    struct Books;
    using Done = std::function<void(std::optional<std::string>)>;
    using Reply = std::function<void(std::string)>;
    using Handler = std::function<std::optional<std::string>(const std::string& body, MonotonicTime now)>;

    // books() is null until the number of seats is known.
    [[nodiscard]] auto books() const -> Books* { return m_openBooks; }
    auto openBooks() -> void;
    auto askWitnesses(const std::shared_ptr<Ask>& ask, MonotonicTime now) -> void;
    auto failWitness(const std::shared_ptr<Ask>& ask, proxy::Refusal refusal) -> void;
    auto askPermit(const std::shared_ptr<Ask>& ask) -> void;
    auto onPermitAnswer(const std::shared_ptr<Ask>& ask, const once::PermitResponse& answer, MonotonicTime askedAt)
        -> void;
    auto onAgreed(const std::shared_ptr<Ask>& ask, const std::string& part) -> void;
    auto refuse(const std::shared_ptr<Ask>& ask, proxy::Refusal refusal) -> void;
    auto decidePermit(const once::PermitRequest& request, MonotonicTime now) -> once::PermitResponse;
    auto inquire(const once::IdempotencyKey& key, const once::InProgress& busy) -> void;
    // report() calls `told` when the holder has the outcome, or couldn't be told now.
    auto report(
        const once::AttemptRecord& record, const std::function<void()>& told = [] {}) -> void;
    [[nodiscard]] auto takeOutcome(const once::AttemptRecord& record, MonotonicTime now) -> bool;
    [[nodiscard]] auto reportOf(unsigned seat, std::uint64_t epoch, MonotonicTime now) -> once::RebuildReport;
    [[nodiscard]] auto knownLosses(MonotonicTime now) -> std::vector<once::LostDaemon>;
    [[nodiscard]] auto absorb(const once::RebuildReport& report, MonotonicTime now) -> bool;
    [[nodiscard]] auto successor() const -> std::optional<DaemonIdentity>;
    auto rebuild(unsigned seat, const once::SeatLease& tenure, MonotonicTime now) -> void;
    auto addHandler(PeerRouter& router, const std::string& path, Handler handler) -> void;
    auto call(std::size_t worker, const std::string& peer, const std::string& path, std::string body, Done done)
        -> void;
    [[nodiscard]] auto anyWorker() const -> std::size_t;

    Options m_options;
    std::shared_ptr<const proxy::ProxyContext> m_context;
    std::shared_ptr<const OnceFleetView> m_view;
    std::unique_ptr<Books> m_books;
    std::atomic<Books*> m_openBooks = nullptr;
    std::atomic<std::uint64_t> m_nextAttempt = 0;
    std::atomic<std::size_t> m_missingReports = 0;
    Counts m_counts;
    Mutex m_absorbedMutex;
    std::vector<DaemonIdentity> m_absorbed GUARDED_BY(m_absorbedMutex);
    std::vector<once::LostDaemon> m_absorbedLosses GUARDED_BY(m_absorbedMutex); // told by those that it took over
    MonotonicTime m_remembersSince GUARDED_BY(m_absorbedMutex); // this daemon's start, or that of one it took over
    std::map<unsigned, std::uint64_t> m_openEpochs; // by seat
    std::map<unsigned, MonotonicTime> m_askedReportsAt;
    std::set<DaemonIdentity> m_notedLost;
    unsigned m_newlyOpened = 0; // seats, since the last tick
};

} // namespace coriandergate::daemon
