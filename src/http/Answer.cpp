#include "http/Answer.h"

namespace coriandergate::http {

auto makeAnswer(int status, std::string_view contentType, std::string body) -> Answer
{
    Answer answer;
    answer.status = status;
    answer.headers.add("Content-Type", contentType);
    answer.body = std::move(body);
    return answer;
}

} // namespace coriandergate::http
