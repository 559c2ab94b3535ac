// Turns whole messages into the bytes to send, with Boost.Beast's serializer.
//
//   socket.write(serializeRequest(request));
#pragma once

#include <string>

namespace coriandergate::http {

struct Answer;
struct Request;

// serializeRequest() is the bytes of `request` in HTTP/1.1. Length headers are set from the body; hop-by-hop headers
// must have been removed. Safe from any thread.
[[nodiscard]] auto serializeRequest(const Request& request) -> std::string;

// serializeAnswer() is the bytes of `answer` in HTTP/1.1, with "Connection: close" unless it keeps the connection. For
// an answer to HEAD (`isHead`) the length header stays as it is and no body is written. Safe from any thread.
[[nodiscard]] auto serializeAnswer(const Answer& answer, bool isHead) -> std::string;

} // namespace coriandergate::http
