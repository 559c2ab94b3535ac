#include "testing/RequestFixture.h"

#include "http/Exchange.h"

#include <stdexcept>

namespace coriandergate::testing {

using namespace std::chrono_literals;

RequestFixture::RequestFixture()
{
    directory.apply({ makeHostRow("self", 1, s_locality) }, true);
    context.headers = { .requestId = "Request-Id", .deadline = "Deadline", .retryAfter = "Retry-After" };
    admit({ .name = "reads",
        .host = "shop.example",
        .pathPrefix = "/reads/",
        .service = "stock",
        .isOpen = true,
        .repeatPolicy = config::RepeatPolicy::Idempotent,
        .deadline = 2s,
        .targetLatency = 200ms,
        .maximumAttempts = 2 });
}

RequestFixture::~RequestFixture() = default;

auto RequestFixture::admit(const config::Route& newRoute) -> void
{
    route = newRoute;
    config::Configuration configuration;
    configuration.version = 1;
    configuration.routes.push_back(route);
    context.snapshot = std::make_shared<const relay::PolicySnapshot>(std::move(configuration));
    http::Request message;
    message.method = "GET";
    message.target = route.pathPrefix + "1";
    message.headers.add("Host", route.host);
    message.headers.add("Request-Id", "r-1");
    request = std::make_shared<relay::CallerRequest>(
        context, std::make_shared<http::Exchange>(std::move(message), "caller", 0, [](const http::Answer&) {}));
    const auto refusal = relay::admitRequest(
        context, request->exchange->request(), request->receivedAt, SuspendAwareClock::now(), request->admitted);
    if (refusal)
        throw std::logic_error(std::string(refusal->reason));
    request->service = route.service;
}

auto RequestFixture::addPeer(std::optional<relay::RunOutcome> outcome, int status) -> void
{
    peers.push_back(std::make_unique<net::HttpServer>(io, net::HttpServer::Options {}, [=, this](auto exchange) {
        const bool isRun = exchange->request().target == relay::runPath;
        ++(isRun ? runs : reservations);
        auto response = outcome ? http::makeAnswer(isRun ? status : 200, "text/plain", "")
                                : http::makeAnswer(503, "text/plain", std::string(relay::noSlotInTime));
        if (isRun)
            response.headers.add(relay::outcomeHeader, relay::outcomeName(*outcome));
        response.headers.add(relay::loadHeader, relay::encodeLoadReport({ .load = { .slots = 4 } }));
        if (onResponse)
            onResponse(response);
        exchange->answer(std::move(response));
    }));
    Error reason;
    if (!peers.back()->listen("127.0.0.1:0", reason))
        throw std::runtime_error(reason.toText());
    std::vector<dispatch::LoadBalancer::Description> targets;
    for (const auto& peer : peers)
        targets.push_back({ .address = "127.0.0.1:" + std::to_string(peer->port()),
            .service = route.service,
            .locality = s_locality,
            .slots = 4 });
    loadBalancer.setTargets(targets);
}

} // namespace coriandergate::testing
