#include "control/OperatorApi.h"

#include "config/ConfigurationKeeper.h"
#include "config/Declaration.h"
#include "config/EntryCodec.h"
#include "config/PeerDirectory.h"
#include "config/Snapshot.h"
#include "control/ChangeStore.h"
#include "control/FleetCheck.h"
#include "control/KeyChange.h"
#include "control/RecordCodec.h"
#include "http/Client.h"
#include "http/Exchange.h"
#include "http/Problem.h"
#include "http/Status.h"
#include "http/WorkerPool.h"

#include <QUrl>
#include <QUrlQuery>
#include <algorithm>
#include <utility>

namespace coriandergate::control {

namespace {

    using nlohmann::json;

    constexpr std::size_t defaultLimit = 100; // records
    constexpr std::size_t mostLimit = 1000; // records
    constexpr std::size_t digestLength = 64; // hexadecimal digits
    constexpr std::string_view bearer = "Bearer ";

    auto makeJson(int status, const json& value) -> http::Answer
    {
        return http::makeAnswer(
            status, "application/json", value.dump(-1, ' ', false, json::error_handler_t::replace) + "\n");
    }

    auto makeProblem(int status, const std::string& reason) -> http::Answer
    {
        return http::makeAnswer(status, http::problemContentType, http::problemBody(status, reason));
    }

    auto makeFailure(int status, std::string_view result, const Error& error) -> http::Answer
    {
        return makeJson(status,
            { { "result", result },
                { "error", { { "step", error.step }, { "peer", error.peer }, { "reason", error.reason } } } });
    }

    auto makeFaults(const std::vector<config::DeclarationFault>& faults) -> http::Answer
    {
        return makeJson(http::statusUnprocessable, { { "result", "invalid" }, { "faults", faults } });
    }

    // toSeconds() is a duration for people and scripts; null when there is none.
    auto toSeconds(const std::optional<MonotonicDuration>& duration) -> json
    {
        return duration ? json(std::chrono::duration<double>(*duration).count()) : json(nullptr);
    }

    auto freshnessText(config::Freshness freshness) -> std::string_view
    {
        switch (freshness) {
        case config::Freshness::None:
            return "none";
        case config::Freshness::Current:
            return "current";
        case config::Freshness::KeysExpired:
            return "keysExpired";
        case config::Freshness::Expired:
            break;
        }
        return "expired";
    }

    auto newestHead(const std::vector<DaemonStatus>& daemons) -> config::ConfigurationHead
    {
        config::ConfigurationHead newest;
        for (const auto& daemon : daemons) {
            if (daemon.head && daemon.head->version > newest.version)
                newest = *daemon.head;
        }
        return newest;
    }

    // Turns a ConfirmResult into an answer.
    struct ConfirmAnswer {
        auto operator()(const Accepted& accepted) const -> http::Answer
        {
            return makeJson(http::statusOk,
                { { "result", "accepted" }, { "head", accepted.head }, { "wasAlready", accepted.wasAlready } });
        }
        auto operator()(const Conflict& conflict) const -> http::Answer
        {
            return makeJson(http::statusConflict, { { "result", "conflict" }, { "changes", conflict.changes } });
        }
        auto operator()(const NotAccepted& refused) const -> http::Answer
        {
            return makeFailure(http::statusUnavailable, "notAccepted", refused.error);
        }
        auto operator()(const ConfirmUnknown& unknown) const -> http::Answer
        {
            return makeFailure(http::statusGatewayTimeout, "unknown", unknown.error);
        }
        auto operator()(const NoSuchPlan&) const -> http::Answer
        {
            return makeProblem(http::statusNotFound, "there is no such plan");
        }
    };

    // Turns a PlanResult into an answer.
    struct PlanAnswer {
        auto operator()(const PlanMade& made) const -> http::Answer
        {
            return makeJson(
                http::statusCreated, { { "result", "planned" }, { "id", made.record.id }, { "plan", made.plan } });
        }
        auto operator()(const PlanRefused& refused) const -> http::Answer
        {
            return makeFailure(http::statusUnprocessable, "refused", refused.error);
        }
        auto operator()(const PlanNotKept& failed) const -> http::Answer
        {
            return makeFailure(http::statusUnavailable, "notAccepted", failed.error);
        }
    };

} // namespace

OperatorApi::OperatorApi(http::WorkerPool& workers, std::size_t worker, http::WorkerPool& requestWorkers,
    std::shared_ptr<ChangeStore> changes, std::shared_ptr<config::ConfigurationKeeper> keeper,
    std::shared_ptr<const config::PeerDirectory> peers, OperatorTable operators, const Options& options)
    : m_workers(workers)
    , m_worker(worker)
    , m_requestWorkers(requestWorkers)
    , m_changes(std::move(changes))
    , m_keeper(std::move(keeper))
    , m_peers(std::move(peers))
    , m_operators(std::move(operators))
    , m_options(options)
{
}

OperatorApi::~OperatorApi() = default;

auto OperatorApi::start() -> void
{
    m_workers.runAndWait(m_worker, [this] { m_client = std::make_unique<http::Client>(http::Client::Options {}); });
}

auto OperatorApi::stop() -> void
{
    m_workers.runAndWait(m_worker, [this] { m_client.reset(); });
}

auto OperatorApi::handle(std::shared_ptr<http::Exchange> exchange) -> void
{
    if (m_operators.empty())
        return exchange->answer(
            makeProblem(http::statusForbidden, "no operator is set up; the setting 'operators' names them"));
    const auto authorization = exchange->request().headers.find("Authorization").value_or("");
    const auto token = authorization.starts_with(bearer) ? authorization.substr(bearer.size()) : std::string_view();
    auto name = m_operators.nameFor(token);
    if (name.empty())
        return exchange->answer(makeProblem(http::statusUnauthorized, "a token of an operator is needed"));
    auto call = readCall(std::move(exchange));
    call.operatorName = std::move(name);
    m_workers.post(m_worker, [self = shared_from_this(), call = std::move(call)] {
        if (self->m_client)
            self->dispatch(call);
        else
            self->reply(call, makeProblem(http::statusUnavailable, "the daemon stops"));
    });
}

auto OperatorApi::readCall(std::shared_ptr<http::Exchange> exchange) const -> Call
{
    const auto& request = exchange->request();
    const QUrl url(QString::fromStdString(request.target));
    const QUrlQuery query(url);
    Call call;
    call.method = request.method;
    call.path = url.path().toStdString();
    call.body = request.body;
    call.purpose = query.queryItemValue("purpose", QUrl::FullyDecoded).toStdString();
    call.after = query.queryItemValue("after").toULongLong();
    const auto limit = query.queryItemValue("limit").toULongLong();
    call.limit = limit == 0 ? defaultLimit : std::min<std::size_t>(limit, mostLimit);
    call.exchange = std::move(exchange);
    return call;
}

auto OperatorApi::dispatch(const Call& call) -> void
{
    using Handler = void (OperatorApi::*)(const Call&);
    struct Entry {
        std::string_view method;
        std::string_view path;
        Handler handler;
    };
    constexpr Entry entries[] = { { "POST", "/v1/validate", &OperatorApi::validate },
        { "POST", "/v1/diff", &OperatorApi::diff }, { "POST", "/v1/plans", &OperatorApi::planDeclaration },
        { "POST", "/v1/keys/issue", &OperatorApi::issueKey },
        { "POST", "/v1/keys/withdraw", &OperatorApi::withdrawKey }, { "GET", "/v1/status", &OperatorApi::status },
        { "GET", "/v1/export", &OperatorApi::exportDeclaration } };
    for (const auto& entry : entries) {
        if (call.method == entry.method && call.path == entry.path)
            return (this->*entry.handler)(call);
    }
    if (call.method == "GET" && (call.path == "/v1/audit" || call.path == "/v1/history"))
        return audit(call, call.path == "/v1/audit");
    dispatchPlan(call);
}

auto OperatorApi::dispatchPlan(const Call& call) -> void
{
    constexpr std::string_view plans = "/v1/plans/";
    constexpr std::string_view confirmation = "/confirm";
    if (call.path.starts_with(plans)) {
        const auto rest = call.path.substr(plans.size());
        if (call.method == "GET" && rest.find('/') == std::string::npos)
            return showPlan(call, rest);
        if (call.method == "POST" && rest.ends_with(confirmation))
            return confirm(call, rest.substr(0, rest.size() - confirmation.size()));
    }
    reply(call, makeProblem(http::statusNotFound, "no such page: " + call.method + " " + call.path));
}

auto OperatorApi::validate(const Call& call) -> void
{
    std::vector<config::DeclarationFault> faults;
    const auto declaration = config::parseDeclaration(call.body, faults);
    if (!declaration)
        return reply(call, makeFaults(faults));
    const auto& configuration = declaration->configuration;
    reply(call,
        makeJson(http::statusOk,
            { { "result", "valid" }, { "routes", configuration.routes.size() },
                { "clientAccounts", configuration.clientAccounts.size() },
                { "services", configuration.services.size() } }));
}

auto OperatorApi::diff(const Call& call) -> void
{
    std::vector<config::DeclarationFault> faults;
    const auto declaration = config::parseDeclaration(call.body, faults);
    if (!declaration)
        return reply(call, makeFaults(faults));
    const auto current = m_keeper->current();
    const auto base = current ? *current->configuration : config::Configuration {};
    const auto targets = m_options.targets ? m_options.targets() : KnownTargets {};
    const auto plan = planChange(base, intendedConfiguration(base, *declaration), targets);
    reply(
        call, makeJson(http::statusOk, { { "result", plan.changes.empty() ? "same" : "differs" }, { "plan", plan } }));
}

auto OperatorApi::planDeclaration(const Call& call) -> void
{
    std::vector<config::DeclarationFault> faults;
    auto declaration = config::parseDeclaration(call.body, faults);
    if (!declaration)
        return reply(call, makeFaults(faults));
    makePlan(call, [declaration = *std::move(declaration)](const config::Configuration& base, Error&) {
        return std::optional(intendedConfiguration(base, declaration));
    });
}

auto OperatorApi::issueKey(const Call& call) -> void
{
    const auto value = json::parse(call.body, nullptr, false);
    const auto account = value.is_object() ? value.value("clientAccount", json()) : json();
    const auto digest = value.is_object() ? value.value("keyDigest", json()) : json();
    const auto isDigest = digest.is_string() && digest.get<std::string>().size() == digestLength
        && digest.get<std::string>().find_first_not_of("0123456789abcdef") == std::string::npos;
    if (!account.is_string() || !isDigest)
        return reply(call,
            makeFailure(http::statusUnprocessable, "refused",
                { "issue key", {}, "clientAccount and keyDigest (64 lower-case hexadecimal digits) are needed" }));
    makePlan(call,
        [account = account.get<std::string>(), digest = digest.get<std::string>()](
            const config::Configuration& base, Error& reason) { return withKeyIssued(base, account, digest, reason); });
}

auto OperatorApi::withdrawKey(const Call& call) -> void
{
    const auto value = json::parse(call.body, nullptr, false);
    const auto digest = value.is_object() ? value.value("keyDigest", json()) : json();
    if (!digest.is_string())
        return reply(
            call, makeFailure(http::statusUnprocessable, "refused", { "withdraw key", {}, "keyDigest is needed" }));
    makePlan(call, [digest = digest.get<std::string>()](const config::Configuration& base, Error& reason) {
        return withKeyWithdrawn(base, digest, reason);
    });
}

auto OperatorApi::makePlan(const Call& call, PlanRequest::Intent intent) -> void
{
    PlanRequest request { call.operatorName, call.purpose, wallNow(), std::move(intent) };
    m_changes->makePlan(std::move(request), m_keeper->current(),
        m_options.targets ? m_options.targets() : KnownTargets {},
        [self = shared_from_this(), call](const PlanResult& result) {
            const auto* made = std::get_if<PlanMade>(&result);
            self->log(call, "plan", made != nullptr ? made->record.id : "not made");
            self->reply(call, std::visit(PlanAnswer {}, result));
        });
}

auto OperatorApi::showPlan(const Call& call, const std::string& planId) -> void
{
    m_changes->readPlan(planId, [self = shared_from_this(), call](const ChangeStore::TextResult& result) {
        if (const auto* unavailable = std::get_if<store::Unavailable>(&result))
            return self->reply(call, makeFailure(http::statusUnavailable, "unavailable", unavailable->error));
        const auto& text = std::get<std::optional<std::string>>(result);
        if (!text)
            return self->reply(call, makeProblem(http::statusNotFound, "there is no such plan"));
        self->reply(call, http::makeAnswer(http::statusOk, "application/json", *text + "\n"));
    });
}

auto OperatorApi::confirm(const Call& call, const std::string& planId) -> void
{
    m_changes->confirm(planId, call.operatorName, wallNow(),
        [self = shared_from_this(), call, planId, askedAt = monotonicNow()](const ConfirmResult& result) {
            // This daemon need not wait for its next poll; from it the others hear at once.
            if (const auto* accepted = std::get_if<Accepted>(&result); accepted != nullptr && !accepted->wasAlready)
                self->m_keeper->onStoreHead(accepted->head, askedAt);
            const auto answer = std::visit(ConfirmAnswer {}, result);
            self->log(call, "confirm " + planId, std::to_string(answer.status));
            self->reply(call, answer);
        });
}

auto OperatorApi::status(const Call& call) -> void
{
    checkFleet(*m_client, m_peers->peers(), m_options.checkTimeout,
        [self = shared_from_this(), call](const std::vector<DaemonStatus>& daemons) {
            const auto now = monotonicNow();
            auto known = daemons;
            known.push_back({ self->m_options.self, self->m_keeper->head() });
            const auto newest = newestHead(known);
            auto behind = json::array();
            json unreachable = self->m_peers->lostPeers();
            std::size_t inForce = 0;
            for (const auto& daemon : known) {
                if (!daemon.head)
                    unreachable.push_back(daemon.address);
                else if (daemon.head->version == newest.version)
                    ++inForce;
                else
                    behind.push_back({ { "address", daemon.address }, { "version", daemon.head->version } });
            }
            self->reply(call,
                makeJson(http::statusOk,
                    { { "daemon", self->m_options.self }, { "head", newest },
                        { "freshness", freshnessText(self->m_keeper->freshness(now)) },
                        { "contactAgeSeconds", toSeconds(self->m_keeper->contactAge(now)) },
                        { "storeAgeSeconds", toSeconds(self->m_keeper->storeAge(now)) },
                        { "isStoreBehind", self->m_keeper->isStoreBehind() },
                        { "daemons", inForce + behind.size() + unreachable.size() }, { "inForce", inForce },
                        { "behind", behind }, { "unreachable", unreachable } }));
        });
}

auto OperatorApi::audit(const Call& call, bool withRefused) -> void
{
    m_changes->readAudit(
        call.after, call.limit, [self = shared_from_this(), call, withRefused](const ChangeStore::AuditResult& result) {
            if (const auto* unavailable = std::get_if<store::Unavailable>(&result))
                return self->reply(call, makeFailure(http::statusUnavailable, "unavailable", unavailable->error));
            auto records = std::get<std::vector<AuditRecord>>(result);
            if (!withRefused)
                std::erase_if(records, [](const AuditRecord& record) { return record.result != "accepted"; });
            self->reply(call, makeJson(http::statusOk, { { "records", records } }));
        });
}

auto OperatorApi::exportDeclaration(const Call& call) -> void
{
    const auto current = m_keeper->current();
    if (!current)
        return reply(call, makeProblem(http::statusUnavailable, "no configuration is known yet"));
    auto answer
        = http::makeAnswer(http::statusOk, "application/yaml", config::writeDeclaration(*current->configuration));
    answer.headers.add("Coriandergate-Version", std::to_string(current->configuration->version));
    reply(call, std::move(answer));
}

auto OperatorApi::reply(const Call& call, http::Answer answer) -> void
{
    m_requestWorkers.post(call.exchange->worker(),
        [exchange = call.exchange, answer = std::move(answer)]() mutable { exchange->answer(std::move(answer)); });
}

auto OperatorApi::log(const Call& call, const std::string& what, const std::string& result) -> void
{
    if (m_options.onAction)
        m_options.onAction(call.operatorName, what, result);
}

} // namespace coriandergate::control
