// A message and the peer that it is for.
#pragma once

#include "member/GossipMessage.h"

#include <string>

namespace coriandergate::member {

// GossipEnvelope is a value.
struct GossipEnvelope {
    std::string to; // peer address, IP:port
    GossipMessage message;

    // isExchange() says that the message belongs to an exchange of tables: it may be larger than a datagram and goes by
    // RPC, where ExchangeVersions and ExchangeProfiles are the results of the calls made by the other two.
    [[nodiscard]] auto isExchange() const -> bool
    {
        return message.body.index() >= GossipBody(ExchangeDigest {}).index();
    }
};

} // namespace coriandergate::member
