// One whole HTTP request.
#pragma once

#include "http/HeaderList.h"

#include <string>

namespace coriandergate::http {

// Request is a value; `target` is the request target of the first line ("/path?query").
struct Request {
    std::string method = "GET";
    std::string target = "/";
    HeaderList headers;
    std::string body;
    bool isKeepAlive = true;
};

} // namespace coriandergate::http
