// Feeds a parser of messages as a connection would, with what it left before and a further piece.
//
//   http::RequestParser parser({});
//   const auto reading = testing::readInPieces(parser, bytes, [] { return std::size_t { 1 }; });
#pragma once

#include "http/ParseProgress.h"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <string>

namespace coriandergate::testing {

// PieceReading is what became of the bytes, all of them if the parser needs more.
struct PieceReading {
    std::size_t used = 0;
    std::size_t mostUnread = 0; // bytes that the parser left, at most
};

// readInPieces() feeds `bytes`, in pieces of the sizes that `sizes` returns, until the parser is complete or has
// failed.
template <typename Parser>
auto readInPieces(Parser& parser, const std::string& bytes, const std::function<std::size_t()>& sizes) -> PieceReading
{
    PieceReading reading;
    std::string unread;
    for (std::size_t given = 0; given < bytes.size() && parser.progress() == http::ParseProgress::NeedsMore;) {
        const auto piece = std::min(sizes(), bytes.size() - given);
        unread.append(bytes, given, piece);
        given += piece;
        const auto used = parser.feed(unread);
        unread.erase(0, used);
        reading.used += used;
        reading.mostUnread = std::max(reading.mostUnread, unread.size());
    }
    return reading;
}

} // namespace coriandergate::testing
