// One belief about one daemon, as gossip passes it on.
//
// Beliefs are ordered by `generation` (one run of the daemon), then by `refutation` (how often the daemon has spoken up
// for itself in this run), then by the state. Profiles of one generation are ordered by `profileVersion`.
#pragma once

#include "member/MemberState.h"

#include <cstdint>
#include <memory>
#include <string>
#include <tuple>

namespace coriandergate::member {

struct MemberProfile;

// MemberUpdate is a value. `profile` may be empty even when `profileVersion` isn't 0: then it can be pulled.
struct MemberUpdate {
    std::string address;
    std::uint64_t generation = 0;
    std::uint32_t refutation = 0;
    MemberState state = MemberState::Alive;
    std::uint32_t profileVersion = 0;
    std::shared_ptr<const MemberProfile> profile;

    // isNewerThan() says that this belief about the state replaces `other`.
    [[nodiscard]] auto isNewerThan(const MemberUpdate& other) const -> bool
    {
        return std::tie(generation, refutation, state) > std::tie(other.generation, other.refutation, other.state);
    }
};

} // namespace coriandergate::member
