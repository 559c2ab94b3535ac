// The membership state of a daemon, as another daemon sees it.
#pragma once

namespace coriandergate::member {

// MemberState is ordered: of two updates with equal generation and refutation number, the one with the later state
// wins.
enum class MemberState {
    Alive,
    Suspect, // did not answer a probe; can still refute the suspicion
    Leaving, // announced that it is shutting down; gets no new requests
    Dead,
};

} // namespace coriandergate::member
