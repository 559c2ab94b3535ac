#include "testing/EntryFixture.h"

namespace coriandergate::testing {

using namespace std::chrono_literals;

const Locality EntryFixture::s_locality { "west", "west-a" };

auto makeHostRow(const std::string& host, std::uint16_t port, const Locality& locality, std::uint64_t version)
    -> fleet::StoreRow
{
    fleet::HostRecord record;
    record.peerAddress = "127.0.0.1:" + std::to_string(port);
    record.locality = locality;
    record.service = "ledger";
    return { host, fleet::encodeHostRecord(record), version, false };
}

EntryFixture::EntryFixture()
    : peerClient(io, {})
    , loadBalancer({ .ownLocality = s_locality })
    , retryBudget({})
    , freshness({ .maximumAge = 1s })
    , crashRegistry(directory, store, { .table = "hosts", .region = s_locality.region })
    , context { .io = io,
        .options = {},
        .headers = {},
        .hostKey = "self",
        .service = "ledger",
        .locality = s_locality,
        .peerClient = peerClient,
        .loadBalancer = loadBalancer,
        .retryBudget = retryBudget,
        .callRatio = callRatio,
        .configurationFreshness = freshness,
        .hostListFreshness = freshness,
        .directory = directory,
        .crashRegistry = crashRegistry,
        .snapshot = nullptr }
{
    context.isReady = true;
}

} // namespace coriandergate::testing
