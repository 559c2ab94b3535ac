#include "rpc/RpcRegistry.h"

#include "base/Error.h"
#include "rpc/internal/JsonConversion.h"

#include <json/value.h>
#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/iclientconnectionhandler.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

#include <map>

namespace coriandergate::rpc {

namespace {

    constexpr int handlerFailed = -31000; // outside the protocol's range, to which the library adds texts of its own

}

// The library throws through its own frames only: handle() lets nothing out.
struct RpcRegistry::State : public jsonrpc::IProcedureInvokationHandler {
    std::map<std::string, Handler> handlers;
    std::unique_ptr<jsonrpc::IProtocolHandler> protocol { jsonrpc::RequestHandlerFactory::createProtocolHandler(
        jsonrpc::JSONRPC_SERVER_V2, *this) };

    // NOLINTNEXTLINE(readability-identifier-naming)
    auto HandleMethodCall(jsonrpc::Procedure& procedure, const Json::Value& input, Json::Value& output) -> void override
    {
        Error reason;
        const auto& handler = handlers.at(procedure.GetProcedureName());
        const auto result = handler(internal::fromJsonCpp(input), reason);
        if (!result)
            throw jsonrpc::JsonRpcException(handlerFailed, reason.toText());
        output = internal::toJsonCpp(*result);
    }

    // NOLINTNEXTLINE(readability-identifier-naming)
    auto HandleNotificationCall(jsonrpc::Procedure&, const Json::Value&) -> void override { }
};

RpcRegistry::RpcRegistry()
    : m_state(std::make_unique<State>())
{
}

RpcRegistry::~RpcRegistry() = default;

auto RpcRegistry::add(const std::string& method, Handler handler) -> void
{
    m_state->handlers[method] = std::move(handler);
    m_state->protocol->AddProcedure(
        jsonrpc::Procedure(method, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, static_cast<const char*>(nullptr)));
}

auto RpcRegistry::handle(const std::string& body) const -> std::string
{
    std::string answer;
    try {
        m_state->protocol->HandleRequest(body, answer);
    } catch (const std::exception&) {
        answer = R"({"jsonrpc":"2.0","id":null,"error":{"code":-32700,"message":"unreadable call"}})";
    }
    return answer;
}

} // namespace coriandergate::rpc
