// How far a parser has come with one message.
#pragma once

namespace coriandergate::http {

enum class ParseProgress {
    NeedsMore,
    Complete,
    Failed,
};

} // namespace coriandergate::http
