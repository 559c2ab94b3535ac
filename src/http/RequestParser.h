// Reads one HTTP/1 request from bytes as they come, on Boost.Beast's parser, and refuses what two readers could
// understand differently.
//
// Beyond Beast's own checks these are refused: more than one Content-Length, Content-Length beside Transfer-Encoding, a
// Transfer-Encoding other than "chunked", no or several Host headers in HTTP/1.1, a request target that is not a path.
// Fields in a chunked trailer are dropped, so that none can pass for a header. The request line, the other lines of the
// header block together, the line before a chunk, and a trailer with the line before it may each be as long as
// `maximumHeaderBytes`.
//
//   RequestParser parser({});
//   const auto used = parser.feed(bytes);
//   if (parser.progress() == ParseProgress::Complete)
//       handle(parser.takeRequest()); // bytes.substr(used) belong to the next request
#pragma once

#include "http/ParseProgress.h"
#include "http/Request.h"

#include <cstddef>
#include <memory>
#include <string_view>

namespace coriandergate::http {

class RequestParser {
public:
    struct Options {
        std::size_t maximumHeaderBytes = 16 * 1024; // at most 4 GiB - 1
        std::size_t maximumBodyBytes = 8 * 1024 * 1024;
    };

    explicit RequestParser(const Options& options);
    ~RequestParser();
    RequestParser(RequestParser&&) noexcept;
    auto operator=(RequestParser&&) noexcept -> RequestParser&;

    // feed() reads from `bytes` and returns how many it used. Bytes that it left must be given again with what follows.
    // It reads nothing once the request is complete or has failed. Not thread-safe.
    auto feed(std::string_view bytes) -> std::size_t;

    [[nodiscard]] auto progress() const -> ParseProgress;

    // hasHeaders() says that the header block is complete.
    [[nodiscard]] auto hasHeaders() const -> bool;

    // hasStarted() says that some byte of the request has been read.
    [[nodiscard]] auto hasStarted() const -> bool;

    // awaitsContinue() says that the caller sent "Expect: 100-continue" and no body byte yet.
    [[nodiscard]] auto awaitsContinue() const -> bool;

    // bodyBytes() is how much of the body is held so far.
    [[nodiscard]] auto bodyBytes() const -> std::size_t;

    // heldBytes() is the memory that the request takes so far: its body with what the string keeps in reserve, and its
    // headers with the nodes that hold them.
    [[nodiscard]] auto heldBytes() const -> std::size_t;

    // failureStatus() is the HTTP status (400, 413, 417, 431, 501, 503, 505) for a failed request, and failureReason()
    // says why.
    [[nodiscard]] auto failureStatus() const -> int;
    [[nodiscard]] auto failureReason() const -> std::string_view;

    // takeRequest() moves the complete request out.
    [[nodiscard]] auto takeRequest() -> Request;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace coriandergate::http
