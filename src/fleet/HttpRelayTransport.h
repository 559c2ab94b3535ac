// Carries watch requests to relays over HTTP.
//
//   HttpRelayTransport transport(peerClient);
//   RelayedStoreClient client(scheduler, store, transport, options);
#pragma once

#include "fleet/RelayTransport.h"

namespace coriandergate::net {
class HttpClient;
}

namespace coriandergate::fleet {

// HttpRelayTransport is used on the thread of its client, which outlives it.
class HttpRelayTransport : public RelayTransport {
public:
    explicit HttpRelayTransport(net::HttpClient& client);

    auto watch(const std::string& address, const RelayWatchRequest& request, std::chrono::milliseconds timeout,
        Callback done) -> void override;

private:
    net::HttpClient& m_client;
};

} // namespace coriandergate::fleet
