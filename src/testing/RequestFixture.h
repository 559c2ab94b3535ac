// One admitted request of an entry, and the peers of the targets that it may go to, for tests of the request's steps.
//
//   RequestFixture fixture;
//   fixture.addPeer(relay::RunOutcome::Answered);
//   relay::RetryGate gate(fixture.request);
#pragma once

#include "net/HttpServer.h"
#include "relay/CallerRequest.h"
#include "testing/EntryFixture.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace coriandergate::testing {

// RequestFixture is used on one thread. The request is repeatable, of the open route "reads" to the service "stock".
struct RequestFixture : EntryFixture {
    RequestFixture();
    ~RequestFixture();
    RequestFixture(const RequestFixture&) = delete;
    auto operator=(const RequestFixture&) -> RequestFixture& = delete;

    // addPeer() adds a target whose peer grants every slot and reports `outcome` of every run; without an outcome it
    // refuses every slot.
    auto addPeer(std::optional<relay::RunOutcome> outcome, int status = 200) -> void;

    // admit() replaces the configuration by one with `route`, and the request by one that it admits.
    auto admit(const config::Route& route) -> void;

    config::Route route;
    std::shared_ptr<relay::CallerRequest> request;
    std::vector<std::unique_ptr<net::HttpServer>> peers;
    std::function<void(http::Answer& response)> onResponse; // changes the peers' responses
    int reservations = 0;
    int runs = 0;
};

} // namespace coriandergate::testing
