// One whole HTTP answer.
#pragma once

#include "http/HeaderList.h"

#include <string>

namespace coriandergate::http {

// Answer is a value. For an answer to HEAD the body is empty while the headers speak of the body that GET would have.
struct Answer {
    int status = 200;
    std::string reason;
    HeaderList headers;
    std::string body;
    bool isKeepAlive = true;
};

// makeAnswer() is an answer with a body of the given content type. Its length header is added when it is sent.
[[nodiscard]] auto makeAnswer(int status, std::string_view contentType, std::string body) -> Answer;

} // namespace coriandergate::http
