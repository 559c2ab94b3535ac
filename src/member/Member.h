// The local view of another daemon in the fleet.
#pragma once

#include "base/Clock.h"
#include "member/MemberUpdate.h"

namespace coriandergate::member {

// Member holds the newest accepted record of a daemon and the times that the failure detector needs.
struct Member {
    MemberUpdate record;
    MonotonicTime stateChangedAt;
    MonotonicTime suspicionExpiresAt; // meaningful in state Suspect
};

} // namespace coriandergate::member
