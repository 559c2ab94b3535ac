// Another daemon as the parts of this one see it.
#pragma once

#include "base/Clock.h"
#include "base/DaemonIdentity.h"
#include "base/Locality.h"
#include "member/MemberState.h"

#include <memory>

namespace coriandergate::member {

struct MemberProfile;

// Peer is a value. The identity's address takes calls and forwarded requests.
struct Peer {
    DaemonIdentity identity;
    Locality locality;
    MemberState state = MemberState::Alive;
    MonotonicTime changedAt; // of the state
    std::shared_ptr<const MemberProfile> profile; // with its targets
};

} // namespace coriandergate::member
