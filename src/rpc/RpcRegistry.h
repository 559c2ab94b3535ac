// The calls that this daemon answers to other daemons, by name, with libjsonrpccpp as codec and dispatcher.
//
//   registry.add("share.acquire", [](const nlohmann::json& parameters, Error& reason) -> std::optional<nlohmann::json>
//   {
//       if (!parameters.contains("account")) {
//           reason = { "acquire share", "", "account is missing" };
//           return std::nullopt;
//       }
//       return nlohmann::json { { "tokens", 5 } };
//   });
//   exchange->answer(makeAnswer(200, "application/json", registry.handle(exchange->request().body)));
#pragma once

#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

namespace coriandergate {
struct Error;
}

namespace coriandergate::rpc {

// RpcRegistry is filled on the main thread before the listeners start; handle() is safe from any thread afterwards.
class RpcRegistry {
public:
    // Handler answers one call; nothing with a reason when it fails. It runs on any thread, several at once, and must
    // not block: it holds up the connection.
    using Handler = std::function<std::optional<nlohmann::json>(const nlohmann::json& parameters, Error& reason)>;

    RpcRegistry();
    ~RpcRegistry();

    RpcRegistry(const RpcRegistry&) = delete;
    auto operator=(const RpcRegistry&) -> RpcRegistry& = delete;

    // add() makes `handler` answer the calls of `method`, in place of an earlier one. Parameters are a JSON object.
    auto add(const std::string& method, Handler handler) -> void;

    // handle() carries out one call or a batch of them, in order, and returns the answer's body. Whatever the bytes,
    // the answer is well-formed.
    [[nodiscard]] auto handle(const std::string& body) const -> std::string;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace coriandergate::rpc
