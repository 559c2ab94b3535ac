// A message between the gossip nodes of two daemons.
//
// Every message carries the sender's own record and the newest configuration version and seat epoch that the sender
// knows. Any kind of message, see GossipBody, may also carry updates about other members in `updates`.
//
//   const GossipMessage message { .sender = self, .updates = { update }, .body = Ping { 17 } };
#pragma once

#include "member/MemberUpdate.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace coriandergate::member {

// Ping requests an Ack with the same sequence number.
struct Ping {
    std::uint32_t sequence = 0;
};

// Ack is the response to a Ping. A node that pinged on behalf of another node sends the Ack on to that node.
struct Ack {
    std::uint32_t sequence = 0;
};

// IndirectPing requests that the receiver ping `address` and forward the Ack (ping-req in SWIM).
struct IndirectPing {
    std::uint32_t sequence = 0;
    std::string address;
};

// UpdatesOnly has no content of its own; the message disseminates the updates and versions that every message carries.
struct UpdatesOnly { };

// ExchangeDigest starts an anti-entropy exchange: one hash per bucket of addresses.
struct ExchangeDigest {
    std::vector<std::uint32_t> bucketHashes;
};

// ExchangeVersions is the response to ExchangeDigest: `updates` holds the sender's records, without profiles, in the
// buckets whose hashes differ.
struct ExchangeVersions { };

// ExchangePull requests the profiles of `addresses`; `updates` holds the records that the sender has in a newer
// version.
struct ExchangePull {
    std::vector<std::string> addresses;
};

// ExchangeProfiles is the response to ExchangePull: `updates` holds the requested records with profiles, up to the size
// limit.
struct ExchangeProfiles { };

using GossipBody = std::variant<Ping, Ack, IndirectPing, UpdatesOnly, ExchangeDigest, ExchangeVersions, ExchangePull,
    ExchangeProfiles>;

// GossipMessage is one message. `sender` includes a profile only when the receiver may not know it.
struct GossipMessage {
    MemberUpdate sender;
    std::uint64_t configurationVersion = 0;
    std::uint64_t seatEpoch = 0;
    std::vector<MemberUpdate> updates;
    GossipBody body;
};

} // namespace coriandergate::member
