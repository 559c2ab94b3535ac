// The part of a member that changes seldom and is large: where it stands and which targets are behind it.
//
// A profile never changes once made; members share it by std::shared_ptr<const MemberProfile>.
#pragma once

#include "base/Locality.h"
#include "member/RemoteTarget.h"

#include <cstdint>
#include <vector>

namespace coriandergate::member {

// MemberProfile is a value; `incarnation` is that of the daemon's DaemonIdentity.
struct MemberProfile {
    std::uint64_t incarnation = 0;
    Locality locality;
    std::vector<RemoteTarget> targets;

    friend auto operator==(const MemberProfile&, const MemberProfile&) -> bool = default;
};

} // namespace coriandergate::member
