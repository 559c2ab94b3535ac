// One daemon of the fleet, as this one believes it to be.
#pragma once

#include "base/Clock.h"
#include "member/MemberUpdate.h"

namespace coriandergate::member {

// Member is a value: the newest belief and when it came.
struct Member {
    MemberUpdate record;
    MonotonicTime changedAt; // of the state
    MonotonicTime suspicionEndsAt; // for a suspect
};

} // namespace coriandergate::member
