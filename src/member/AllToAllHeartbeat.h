// All-to-all heartbeating, the baseline that gossip is measured against: every daemon sends its whole profile to every
// other daemon at a fixed interval and considers a daemon dead once no heartbeat has arrived for the timeout.
//
//   AllToAllHeartbeat node(self, { "10.0.0.8:7101", "10.0.0.9:7101" }, { .interval = 1s });
//   for (const auto& peer : node.tick(now))
//       send(peer, node.self());
#pragma once

#include "base/Clock.h"
#include "member/MemberUpdate.h"

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace coriandergate::member {

// AllToAllHeartbeat is not thread-safe.
class AllToAllHeartbeat {
public:
    struct Options {
        std::chrono::milliseconds interval { 1000 };
        std::chrono::milliseconds timeout { 5500 };
    };

    AllToAllHeartbeat(MemberUpdate self, std::vector<std::string> peers, const Options& options)
        : m_self(std::move(self))
        , m_peers(std::move(peers))
        , m_options(options)
    {
    }

    // tick() returns the peers to send self() to; empty while the current interval has not elapsed.
    [[nodiscard]] auto tick(MonotonicTime now) -> std::vector<std::string>
    {
        if (now < m_nextHeartbeat)
            return {};
        m_nextHeartbeat = now + m_options.interval;
        return m_peers;
    }

    // receive() records when the heartbeat of `sender` arrived.
    auto receive(const MemberUpdate& sender, MonotonicTime now) -> void { m_lastHeartbeatAt[sender.address] = now; }

    // isAlive() returns whether a heartbeat from `address` arrived within the timeout.
    [[nodiscard]] auto isAlive(const std::string& address, MonotonicTime now) const -> bool
    {
        const auto found = m_lastHeartbeatAt.find(address);
        return found != m_lastHeartbeatAt.end() && now < found->second + m_options.timeout;
    }

    [[nodiscard]] auto self() const -> const MemberUpdate& { return m_self; }

private:
    const MemberUpdate m_self;
    const std::vector<std::string> m_peers;
    const Options m_options;
    MonotonicTime m_nextHeartbeat;
    std::map<std::string, MonotonicTime> m_lastHeartbeatAt;
};

} // namespace coriandergate::member
