// Chooses the few daemons of a data centre that ask the store for news, without a message.
//
// Every daemon ranks the live members that it knows of by rendezvous hashing; daemons that know the same members choose
// the same pollers, and a member that joins or leaves moves at most one place. Daemons that disagree for a while cost a
// few reads more or less, never correctness.
//
//   if (isPoller(self.address, liveAddressesOfMyDataCentre, 3))
//       pollStore();
#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace coriandergate::config {

// isPoller() is true when `self` is among the `count` daemons of `members` that poll. `self` counts as a member whether
// or not it is listed. Safe from any thread.
[[nodiscard]] auto isPoller(std::string_view self, std::span<const std::string> members, std::size_t count) -> bool;

} // namespace coriandergate::config
