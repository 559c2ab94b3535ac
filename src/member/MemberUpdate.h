// The record of one daemon, as members store it and gossip disseminates it.
//
// Updates about a daemon are ordered by `generation`, which identifies one run of the daemon, then by
// `refutationNumber`, which the daemon increases when it leaves or refutes a claim about itself (the incarnation number
// of SWIM), then by `state`. Profiles of one generation are ordered by `profileVersion`.
#pragma once

#include "member/MemberState.h"

#include <cstdint>
#include <memory>
#include <string>
#include <tuple>

namespace coriandergate::member {

struct MemberProfile;

// MemberUpdate is one version of a record. When `profile` is null and `profileVersion` is not 0, the profile can be
// pulled in an exchange.
struct MemberUpdate {
    std::string address;
    std::uint64_t generation = 0;
    std::uint32_t refutationNumber = 0;
    MemberState state = MemberState::Alive;
    std::uint32_t profileVersion = 0;
    std::shared_ptr<const MemberProfile> profile;

    // isNewerThan() returns whether this update supersedes `other`. Profile versions do not count.
    [[nodiscard]] auto isNewerThan(const MemberUpdate& other) const -> bool
    {
        return std::tie(generation, refutationNumber, state)
            > std::tie(other.generation, other.refutationNumber, other.state);
    }
};

} // namespace coriandergate::member
