// The operators' API over HTTP; docs/API.md describes it.
//
//   auto api = std::make_shared<OperatorApi>(workers, 1, requestWorkers, changes, keeper, peers, operators, options);
//   router->add("POST", "/v1/", [api](auto exchange) { api->handle(std::move(exchange)); });
#pragma once

#include "control/KnownTargets.h"
#include "control/OperatorTable.h"
#include "control/PlanRequest.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace coriandergate::config {
class ConfigurationKeeper;
class PeerDirectory;
struct ConfigurationHead;
}
namespace coriandergate::http {
struct Answer;
class Client;
class Exchange;
class WorkerPool;
}

namespace coriandergate::control {

class ChangeStore;

// OperatorApi works on one worker of a pool that serves no requests: reading a declaration of full size takes it
// seconds. handle() may be called from any worker of `requestWorkers`, on which the exchanges live.
class OperatorApi : public std::enable_shared_from_this<OperatorApi> {
public:
    struct Options {
        std::string self; // this daemon's peer address
        std::chrono::milliseconds checkTimeout { 1000 }; // for a daemon to say what it has in force
        std::function<KnownTargets()> targets; // for warnings; may be null
        // An operator did something: event, operator, plan, result. For the log.
        std::function<void(const std::string& operatorName, const std::string& what, const std::string& result)>
            onAction;
    };

    // Both pools must outlive the API.
    OperatorApi(http::WorkerPool& workers, std::size_t worker, http::WorkerPool& requestWorkers,
        std::shared_ptr<ChangeStore> changes, std::shared_ptr<config::ConfigurationKeeper> keeper,
        std::shared_ptr<const config::PeerDirectory> peers, OperatorTable operators, const Options& options);
    ~OperatorApi();

    // start() and stop() make and drop the client with which daemons are asked. On the main thread.
    auto start() -> void;
    auto stop() -> void;

    // handle() answers a request below /v1/, then or later.
    auto handle(std::shared_ptr<http::Exchange> exchange) -> void;

private:
    // One request on its way through the API.
    struct Call {
        std::shared_ptr<http::Exchange> exchange;
        std::string operatorName;
        std::string method;
        std::string path;
        std::string body;
        std::string purpose;
        std::uint64_t after = 0;
        std::size_t limit = 0;
    };

    [[nodiscard]] auto readCall(std::shared_ptr<http::Exchange> exchange) const -> Call;
    auto dispatch(const Call& call) -> void;
    auto dispatchPlan(const Call& call) -> void;
    auto validate(const Call& call) -> void;
    auto diff(const Call& call) -> void;
    auto planDeclaration(const Call& call) -> void;
    auto issueKey(const Call& call) -> void;
    auto withdrawKey(const Call& call) -> void;
    auto makePlan(const Call& call, PlanRequest::Intent intent) -> void;
    auto showPlan(const Call& call, const std::string& planId) -> void;
    auto confirm(const Call& call, const std::string& planId) -> void;
    auto status(const Call& call) -> void;
    auto audit(const Call& call, bool withRefused) -> void;
    auto exportDeclaration(const Call& call) -> void;
    auto reply(const Call& call, http::Answer answer) -> void;
    auto log(const Call& call, const std::string& what, const std::string& result) -> void;

    http::WorkerPool& m_workers;
    const std::size_t m_worker;
    http::WorkerPool& m_requestWorkers;
    const std::shared_ptr<ChangeStore> m_changes;
    const std::shared_ptr<config::ConfigurationKeeper> m_keeper;
    const std::shared_ptr<const config::PeerDirectory> m_peers;
    const OperatorTable m_operators;
    const Options m_options;
    std::unique_ptr<http::Client> m_client; // on the worker only
};

} // namespace coriandergate::control
