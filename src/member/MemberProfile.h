// The large, rarely changing part of a member's record: its locality and the targets behind it.
//
// Profiles are immutable and shared as std::shared_ptr<const MemberProfile>.
#pragma once

#include "base/Locality.h"
#include "member/RemoteTarget.h"

#include <cstdint>
#include <vector>

namespace coriandergate::member {

// MemberProfile describes one daemon; `incarnation` is the one in its DaemonIdentity.
struct MemberProfile {
    std::uint64_t incarnation = 0;
    Locality locality;
    std::vector<RemoteTarget> targets;

    friend auto operator==(const MemberProfile&, const MemberProfile&) -> bool = default;
};

} // namespace coriandergate::member
