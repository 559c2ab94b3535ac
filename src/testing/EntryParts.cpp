#include "testing/EntryParts.h"

namespace coriandergate::testing {

using namespace std::chrono_literals;

const Locality EntryParts::s_here { "west", "west-a" };

auto makeHostRow(const std::string& host, std::uint16_t port, const Locality& locality, std::uint64_t version)
    -> fleet::StoreRow
{
    fleet::HostRecord record;
    record.peerAddress = "127.0.0.1:" + std::to_string(port);
    record.locality = locality;
    record.service = "ledger";
    return { host, fleet::encodeHostRecord(record), version, false };
}

EntryParts::EntryParts()
    : hops(io, {})
    , board({ .ownLocality = s_here })
    , attempts({})
    , proof({ .maximumAge = 1s })
    , context { .io = io,
        .options = {},
        .headers = {},
        .hostKey = "self",
        .service = "ledger",
        .locality = s_here,
        .peerClient = hops,
        .loadBalancer = board,
        .retryBudget = attempts,
        .callRatio = calls,
        .configurationFreshness = proof,
        .hostListFreshness = proof,
        .directory = directory,
        .snapshot = nullptr }
{
    context.isReady = true;
}

} // namespace coriandergate::testing
