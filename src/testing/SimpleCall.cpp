#include "testing/SimpleCall.h"

#include "base/Error.h"
#include "http/Client.h"
#include "testing/Application.h"

#include <QEventLoop>

namespace coriandergate::testing {

auto simpleCall(const std::string& peer, http::Request request, std::chrono::milliseconds timeout, Error& reason)
    -> std::optional<http::Answer>
{
    ensureApplication();
    if (!request.headers.find("host"))
        request.headers.add("Host", peer);
    http::Client client({});
    QEventLoop loop;
    http::ExchangeResult result;
    client.send(
        peer, request, { .timeout = timeout, .needsFreshConnection = true }, [&](http::ExchangeResult received) {
            result = std::move(received);
            loop.quit();
        });
    loop.exec();
    if (auto* const answer = std::get_if<http::Answer>(&result))
        return std::move(*answer);
    reason = std::get<http::ExchangeFailure>(result).error;
    return std::nullopt;
}

} // namespace coriandergate::testing
