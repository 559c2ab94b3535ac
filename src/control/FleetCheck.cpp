#include "control/FleetCheck.h"

#include "base/Error.h"
#include "control/SyncMessage.h"
#include "http/Client.h"
#include "http/Status.h"

#include <algorithm>
#include <cstddef>
#include <memory>
#include <utility>

namespace coriandergate::control {

namespace {

    constexpr std::size_t mostQuestions = 64; // under way at once

    class FleetCheck : public std::enable_shared_from_this<FleetCheck> {
    public:
        FleetCheck(http::Client& client, std::vector<config::KeeperPeer> peers, std::chrono::milliseconds timeout,
            std::function<void(std::vector<DaemonStatus>)> done)
            : m_client(client)
            , m_peers(std::move(peers))
            , m_timeout(timeout)
            , m_done(std::move(done))
        {
        }

        auto start() -> void
        {
            if (m_peers.empty())
                return m_done({});
            const auto count = std::min(mostQuestions, m_peers.size());
            for (std::size_t i = 0; i < count; ++i)
                askNext();
        }

    private:
        auto askNext() -> void
        {
            if (m_next == m_peers.size())
                return;
            const auto peer = m_peers[m_next++].address;
            http::Request request { .method = "GET", .target = std::string(headPath), .headers = {}, .body = {} };
            request.headers.add("Host", peer);
            m_client.send(peer, request, { .timeout = m_timeout },
                [self = shared_from_this(), peer](const http::ExchangeResult& result) { self->take(peer, result); });
        }

        auto take(const std::string& peer, const http::ExchangeResult& result) -> void
        {
            Error reason;
            const auto* answer = std::get_if<http::Answer>(&result);
            DaemonStatus status { peer, std::nullopt };
            if (answer != nullptr && answer->status == http::statusOk)
                status.head = config::parseConfigurationHead(answer->body, reason);
            m_statuses.push_back(std::move(status));
            if (m_statuses.size() == m_peers.size())
                return m_done(std::move(m_statuses));
            askNext();
        }

        http::Client& m_client;
        const std::vector<config::KeeperPeer> m_peers;
        const std::chrono::milliseconds m_timeout;
        const std::function<void(std::vector<DaemonStatus>)> m_done;
        std::size_t m_next = 0;
        std::vector<DaemonStatus> m_statuses;
    };

} // namespace

auto checkFleet(http::Client& client, std::vector<config::KeeperPeer> peers, std::chrono::milliseconds timeout,
    std::function<void(std::vector<DaemonStatus>)> done) -> void
{
    std::make_shared<FleetCheck>(client, std::move(peers), timeout, std::move(done))->start();
}

} // namespace coriandergate::control
