// Lets a client account's requests pass within its rate and burst, over all daemons together.
//
// It is proxy's RateGate over a share::TokenClient: asks go to the accounts' homes by calls between daemons, and
// requests wait here until their token comes.
#pragma once

#include "base/Mutex.h"
#include "proxy/RateGate.h"
#include "share/RateLimitOptions.h"
#include "share/TokenClient.h"
#include "share/TokenDecision.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

namespace prometheus {
class Counter;
class Registry;
}
namespace coriandergate::proxy {
struct ProxyContext;
}
namespace coriandergate::rpc {
class RpcClient;
}
namespace coriandergate::seat {
class SeatDirectory;
}
namespace coriandergate::share {
class TokenServer;
struct TokenResponse;
}

namespace coriandergate::daemon {

// shareAskMethod is the call by which a daemon asks an account's home for tokens.
inline constexpr auto shareAskMethod = "share.ask";

// ShareGate is safe from any thread.
class ShareGate : public proxy::RateGate, public std::enable_shared_from_this<ShareGate> {
public:
    // Parts are what the gate works with; all must be set.
    struct Parts {
        std::shared_ptr<const proxy::ProxyContext> context;
        std::shared_ptr<seat::SeatDirectory> directory;
        std::shared_ptr<share::TokenServer> home; // of this daemon
        std::shared_ptr<rpc::RpcClient> calls;
        std::shared_ptr<prometheus::Registry> metrics;
        share::RateLimitOptions options;
    };

    explicit ShareGate(Parts parts);

    auto acquire(const proxy::RequestContext& context, MonotonicTime now,
        std::function<void(proxy::RateDecision)> decided) -> void override;

    // tick() sends what is due and settles what the time has settled; every few milliseconds.
    auto tick(MonotonicTime now) -> void;

private:
    using Decided = std::function<void(proxy::RateDecision)>;

    auto sendAsks(MonotonicTime now) -> void;
    auto settle(const std::vector<share::DeferredDecision>& settlements) -> void;
    auto decide(const std::string& account, const share::TokenDecision& decision, const Decided& decided) -> void;

    struct Waiting {
        std::string account;
        Decided decided;
    };

    const Parts m_parts;
    share::TokenClient m_holder;
    prometheus::Counter& m_granted;
    prometheus::Counter& m_refused;
    prometheus::Counter& m_waited;
    prometheus::Counter& m_asks;
    MonotonicTime m_nextCleanUp;
    Mutex m_mutex;
    std::unordered_map<std::uint64_t, Waiting> m_waiting GUARDED_BY(m_mutex); // by ticket
    std::unordered_map<std::uint64_t, share::TokenDecision> m_early GUARDED_BY(m_mutex); // settled before they waited
};

} // namespace coriandergate::daemon
