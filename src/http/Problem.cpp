#include "http/Problem.h"

#include <nlohmann/json.hpp>

namespace coriandergate::http {

auto problemBody(int status, std::string_view reason) -> std::string
{
    const nlohmann::json document { { "type", "about:blank" }, { "title", "request refused" }, { "status", status },
        { "detail", reason }, { "outcome", "not-run" }, { "step", "read request" } };
    return document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

} // namespace coriandergate::http
