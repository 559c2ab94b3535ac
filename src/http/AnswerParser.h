// Reads one HTTP/1 answer from bytes as they come, on Boost.Beast's parser, and says whether it is whole.
//
// An answer is whole only when its end is marked: by Content-Length, by the last chunk, or by its status. One that ends
// with the connection could have been cut anywhere, so it fails, unless `mayEndWithConnection` is set and the caller
// can tell an orderly end from a reset. Interim answers (1xx) and trailers are skipped. The status line, the other
// lines of a header block together, the line before a chunk, and a trailer with the line before it may each be as long
// as `maximumHeaderBytes`.
//
//   AnswerParser parser({ .isHead = false });
//   parser.feed(bytes);
//   if (parser.progress() == ParseProgress::Complete)
//       use(parser.takeAnswer());
#pragma once

#include "http/Answer.h"
#include "http/ParseProgress.h"

#include <cstddef>
#include <memory>
#include <string_view>

namespace coriandergate::http {

class AnswerParser {
public:
    struct Options {
        std::size_t maximumHeaderBytes = 64 * 1024; // at most 4 GiB - 1
        std::size_t maximumBodyBytes = 32 * 1024 * 1024;
        bool isHead = false;
        bool mayEndWithConnection = false; // then finishAtEnd() tells an answer without a length that it is whole
    };

    explicit AnswerParser(const Options& options);
    ~AnswerParser();
    AnswerParser(AnswerParser&&) noexcept;
    auto operator=(AnswerParser&&) noexcept -> AnswerParser&;

    // feed() reads from `bytes` and returns how many it used. Bytes that it left must be given again with what follows.
    // Not thread-safe.
    auto feed(std::string_view bytes) -> std::size_t;

    // finishAtEnd() says that the peer ended the connection in order; an answer without a stated length is whole then.
    auto finishAtEnd() -> void;

    [[nodiscard]] auto progress() const -> ParseProgress;

    // hasStarted() says that some byte of the answer has been read.
    [[nodiscard]] auto hasStarted() const -> bool;

    // failureReason() says why an answer failed.
    [[nodiscard]] auto failureReason() const -> std::string_view;

    // takeAnswer() moves the complete answer out.
    [[nodiscard]] auto takeAnswer() -> Answer;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace coriandergate::http
