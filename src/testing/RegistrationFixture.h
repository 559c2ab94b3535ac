// The registration of one host with a store that holds its row, for tests.
//
//   RegistrationFixture fixture;
//   fixture.registration.onHostsLoaded();
//   fixture.sendHeartbeat(RegistrationFixture::makeHeartbeat("i-1", 100, 1));
//   CHECK(fixture.storedRecord().targetId == "i-1");
#pragma once

#include "base/Error.h"
#include "fleet/HostDirectory.h"
#include "fleet/HostRegistration.h"
#include "fleet/LocalTarget.h"
#include "testing/OneRowStore.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace coriandergate::testing {

struct RegistrationFixture {
    static constexpr const char* s_host = "10.1.0.1";
    static constexpr const char* s_targetAddress = "10.1.0.1:8363";

    boost::asio::io_context io;
    OneRowStore store { s_host };
    fleet::LocalTarget target { "ledger", s_targetAddress };
    fleet::HostDirectory directory;
    fleet::HostRegistration registration { io, store, target, directory,
        { .table = "hosts",
            .key = s_host,
            .formerKey = "former",
            .host = { .peerAddress = "10.1.0.1:8366", .service = "ledger" } } };
    int targetChanges = 0;
    std::vector<bool> acknowledgements;

    RegistrationFixture()
    {
        registration.setStoreClock([] { return std::chrono::seconds(7); });
        registration.onTargetChanged([this] { ++targetChanges; });
    }

    // makeHeartbeat() is one of a target of this host.
    static auto makeHeartbeat(const std::string& id, std::uint64_t startedAt, std::uint64_t sequence,
        bool isDraining = false) -> fleet::Heartbeat
    {
        return { .id = id,
            .service = "ledger",
            .address = s_targetAddress,
            .startedAt = startedAt,
            .sequence = sequence,
            .slots = 5,
            .isDraining = isDraining };
    }

    auto storedRecord() const -> fleet::HostRecord
    {
        Error reason;
        return fleet::decodeHostRecord(s_host, store.row.value, reason).value_or(fleet::HostRecord {});
    }

    auto acknowledge() -> fleet::HostRegistration::Acknowledge
    {
        return [this](bool isStored) { acknowledgements.push_back(isStored); };
    }

    auto sendHeartbeat(const fleet::Heartbeat& heartbeat) -> void
    {
        Error reason;
        REQUIRE(registration.receive(heartbeat, acknowledge(), reason));
    }
};

} // namespace coriandergate::testing
