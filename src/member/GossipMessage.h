// One message between two daemons' gossip nodes.
//
// Each carries what its sender knows best: the sender's own numbers and the newest versions it has heard of. What kinds
// of message there are is in GossipBody; beliefs about others travel in `updates` with any of them.
#pragma once

#include "member/MemberUpdate.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace coriandergate::member {

// Ping asks for an Ack with the same number.
struct Ping {
    std::uint32_t sequence = 0;
};

// Ack answers a Ping, also one sent on behalf of another daemon.
struct Ack {
    std::uint32_t sequence = 0;
};

// IndirectPing asks the receiver to ping `address` and to pass the answer on.
struct IndirectPing {
    std::uint32_t sequence = 0;
    std::string address;
};

// Rumours is a message sent for its updates and versions only.
struct Rumours { };

// ExchangeDigest opens an exchange of tables: one hash for each bucket of addresses.
struct ExchangeDigest {
    std::vector<std::uint32_t> bucketHashes;
};

// ExchangeVersions answers it: `updates` holds, without profiles, all that the sender knows in the buckets that differ.
struct ExchangeVersions { };

// ExchangePull asks for the profiles of `addresses`; its updates are beliefs that the receiver lacks.
struct ExchangePull {
    std::vector<std::string> addresses;
};

// ExchangeProfiles answers it with whole updates, as many as fit.
struct ExchangeProfiles { };

using GossipBody
    = std::variant<Ping, Ack, IndirectPing, Rumours, ExchangeDigest, ExchangeVersions, ExchangePull, ExchangeProfiles>;

// GossipMessage is a value. `sender` has no profile unless the receiver may not know it.
struct GossipMessage {
    MemberUpdate sender;
    std::uint64_t configurationVersion = 0;
    std::uint64_t seatEpoch = 0;
    std::vector<MemberUpdate> updates;
    GossipBody body;
};

} // namespace coriandergate::member
