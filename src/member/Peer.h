// Another daemon, as PeerSnapshot presents it to the rest of this daemon.
#pragma once

#include "base/Clock.h"
#include "base/DaemonIdentity.h"
#include "base/Locality.h"
#include "member/MemberState.h"

#include <memory>

namespace coriandergate::member {

struct MemberProfile;

// Peer is one other daemon. RPCs and forwarded requests go to the address in `identity`.
struct Peer {
    DaemonIdentity identity;
    Locality locality;
    MemberState state = MemberState::Alive;
    MonotonicTime stateChangedAt;
    std::shared_ptr<const MemberProfile> profile; // includes the daemon's targets
};

} // namespace coriandergate::member
