// A gossip message together with the peer to send it to.
#pragma once

#include "member/GossipMessage.h"

#include <string>

namespace coriandergate::member {

// GossipEnvelope is an outgoing message and its destination.
struct GossipEnvelope {
    std::string to; // peer address, IP:port
    GossipMessage message;

    // isExchange() returns whether the message belongs to an anti-entropy exchange. Such a message may exceed a
    // datagram and is sent by RPC: ExchangeDigest and ExchangePull are requests, ExchangeVersions and ExchangeProfiles
    // their responses.
    [[nodiscard]] auto isExchange() const -> bool
    {
        return message.body.index() >= GossipBody(ExchangeDigest {}).index();
    }
};

} // namespace coriandergate::member
