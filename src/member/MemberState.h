// What a daemon believes of another one.
#pragma once

namespace coriandergate::member {

// MemberState is ordered: of two beliefs about the same refutation number the later one wins.
enum class MemberState {
    Alive,
    Suspect, // doesn't answer; may still refute it
    Leaving, // said that it stops; gets nothing new
    Dead,
};

} // namespace coriandergate::member
