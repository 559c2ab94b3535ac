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
        .self = "self",
        .service = "ledger",
        .here = s_here,
        .hops = hops,
        .board = board,
        .attempts = attempts,
        .calls = calls,
        .proof = proof,
        .hostsProof = proof,
        .directory = directory,
        .snapshot = nullptr }
{
    context.isInformed = true;
}

} // namespace coriandergate::testing
